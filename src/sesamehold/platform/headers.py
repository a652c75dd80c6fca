"""Requests and answers in the platform's headers."""

from __future__ import annotations

from collections.abc import Mapping
import json

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.platform import names
from sesamehold.request.gateway import messages

_MS_PER_S = 1_000
_SCHEME = b"bearer "

# Headers that concern one connection only (RFC 9110, section 7.6.1), and the framing of the body,
# which is written anew.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Headers that only this system may set on the way to a worker.
_OWN = frozenset(
    {
        names.AUTHORIZATION,
        names.TENANT,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.DEADLINE,
        names.REQUEST_PRIORITY,
        names.PIN,
        names.HOLD,
        names.CACHE_BACKUP,
        names.KV_FROM,
        names.KV_FETCH,
        names.INPUTS,
        names.LAST_EVENT_ID,
    }
)

_STATUS_BY_REASON = {
    messages.Reason.NO_ROUTE: 404,
    messages.Reason.UNKNOWN_KEY: 401,
    messages.Reason.MALFORMED: 400,
    messages.Reason.BODY_TOO_LARGE: 413,
    messages.Reason.BODY_TIMEOUT: 408,
}
# The statuses that promise that a request has not run, and those that promise nothing.
_STATUS_NOT_RUN = 503
_STATUS_MAY_HAVE_RUN = 502
_STATUS_TOO_LATE = 504
_STATUS_WRONG_TARGET = 421


@attrs.frozen
class PlatformHeaders:
    """Codec of requests and answers."""

    def request_head(
        self, method: str, raw_target: bytes, headers: messages.HeaderPairs
    ) -> Result[messages.RequestHead, messages.MalformedHead]:
        """Decodes what a client said before the body."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(names.REQUEST_ID)
        if not request_id:
            return Error(messages.MalformedHead("the request has no Request-Id"))
        try:
            return Ok(_request_head(method, raw_target, headers, values, request_id))
        except (ValueError, UnicodeDecodeError) as error:
            return Error(messages.MalformedHead(f"a header is malformed: {error}"))

    def send_head(
        self, head: messages.RequestHead, order: messages.SendOrder, body_size_bytes: int | None
    ) -> bytes:
        """Returns the request line and headers for a worker."""
        lines = [head.method.encode() + b" " + head.raw_target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in head.headers]
        lines.append(b"Deadline-Remaining: %d" % order.remaining_ms)
        lines.append(b"Expect-Instance: " + order.expected_target_id.encode())
        if order.account is not None:
            lines.append(b"Tenant: " + order.account.encode())
        if order.urgency is not None:
            lines.append(b"Request-Priority: %d" % order.urgency)
        if order.inputs is not None:
            lines.append(b"Inputs: " + ",".join(order.inputs).encode())
        if order.last_event_id is not None:
            lines.append(b"Last-Event-Id: %d" % order.last_event_id)
        if body_size_bytes is not None:
            lines.append(b"Content-Length: %d" % body_size_bytes)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def answer_head(self, status: int, headers: messages.HeaderPairs) -> messages.AnswerHead:
        """Decodes the beginning of a worker's answer."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(names.REQUEST_ID)
        length = values.get(b"content-length", b"")
        return messages.AnswerHead(
            status=status,
            headers=_forwarded(headers, values, frozenset()),
            request_id=None if request_id is None else request_id.decode("latin-1"),
            sealed=names.SERVER_SEAL in values,
            encoded=values.get(b"content-encoding", b"identity").lower() != b"identity",
            not_run=names.NOT_RUN in values,
            wrong_target=status == _STATUS_WRONG_TARGET,
            load=_load(values.get(names.SERVER_LOAD)),
            idle_ms=_idle_ms(values.get(b"keep-alive")),
            content_length=int(length) if length.isdigit() else None,
        )

    def refusal(
        self, refusal: messages.Refusal, request_id: str | None
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Returns status, headers and body of an answer of this system's own."""
        status = _STATUS_BY_REASON.get(refusal.reason, _STATUS_NOT_RUN)
        if refusal.may_have_run:
            late = refusal.reason is messages.Reason.TOO_LATE
            status = _STATUS_TOO_LATE if late else _STATUS_MAY_HAVE_RUN
        headers = {"Content-Type": "application/json"}
        if request_id is not None:
            headers["Request-Id"] = request_id
        if refusal.retry_after_ms is not None:
            headers["Retry-After"] = f"{refusal.retry_after_ms / _MS_PER_S:.3f}"
        return status, headers, json.dumps({"error": refusal.reason.value}).encode()


def _request_head(
    method: str,
    raw_target: bytes,
    headers: messages.HeaderPairs,
    values: dict[bytes, bytes],
    request_id: bytes,
) -> messages.RequestHead:
    path, _, _ = raw_target.partition(b"?")
    host, _, _ = values.get(b"host", b"").partition(b":")
    budget = values.get(names.DEADLINE)
    last_event = values.get(names.LAST_EVENT_ID)
    pieces = values.get(names.PIECES, b"")
    return messages.RequestHead(
        request_id=request_id.decode("latin-1"),
        method=method,
        path=path.decode("utf-8", "surrogateescape"),
        raw_target=raw_target,
        host=host.decode("latin-1"),
        headers=_forwarded(headers, values, _OWN),
        budget_ms=None if budget is None else int(float(budget)),
        key=_key(values.get(names.AUTHORIZATION)),
        prompt=_prompt(values),
        piece_counts=tuple(int(count) for count in pieces.split(b",") if count.strip()),
        piece_key=values.get(names.PIECE_KEY, b"").decode("latin-1"),
        last_event_id=None if last_event is None else int(last_event),
    )


def _forwarded(
    headers: messages.HeaderPairs, values: dict[bytes, bytes], dropped: frozenset[bytes]
) -> messages.HeaderPairs:
    listed = {name.strip().lower() for name in values.get(b"connection", b"").split(b",")}
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in dropped
        and lower not in listed
    )


def _key(authorization: bytes | None) -> str | None:
    if authorization is None or not authorization.lower().startswith(_SCHEME):
        return None
    return authorization[len(_SCHEME) :].strip().decode("latin-1")


def _prompt(values: dict[bytes, bytes]) -> messages.Prompt | None:
    counts = values.get(names.TOKEN_COUNTS)
    if counts is None:
        return None
    prompt_tokens, _, output_tokens = counts.partition(b",")
    parts = []
    for entry in values.get(names.PROMPT_PREFIX, b"").split(b","):
        part_id, separator, tokens = entry.strip().partition(b":")
        if separator:
            parts.append(messages.PromptPart(part_id.decode("latin-1"), int(tokens)))
    model = values.get(names.MODEL, b"").decode("latin-1")
    return messages.Prompt(model, int(prompt_tokens), int(output_tokens or 0), tuple(parts))


def _load(header: bytes | None) -> messages.LoadSample | None:
    if header is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in header.split(b","))
    except ValueError:
        # Load is a hint; a malformed one must not fail the answer that carries it.
        return None
    return messages.LoadSample(running, waiting, slots)


def _idle_ms(header: bytes | None) -> int | None:
    if header is None:
        return None
    for parameter in header.split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value) * _MS_PER_S
    return None
