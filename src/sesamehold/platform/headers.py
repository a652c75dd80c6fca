"""Codec for requests and answers with the headers of the platform."""

from __future__ import annotations

from collections.abc import Mapping
import json
import math
import re

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.platform import names
from sesamehold.request.gateway import messages

_MS_PER_S = 1_000
_BEARER_PREFIX = b"bearer "

# Hop-by-hop headers (RFC 9110, section 7.6.1) and body framing, which is generated for each hop.
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
# Transfer codings that the connection removes, or that change nothing.
_TRANSPARENT_CODINGS = frozenset({b"", b"chunked", b"identity"})
# Headers that only the gateway may set on requests to a worker.
_RESERVED_HEADERS = frozenset(
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
    messages.Reason.HEADER_TOO_LARGE: 431,
    messages.Reason.BODY_TIMEOUT: 408,
}
# 503 guarantees that the request has not run; 502 and 504 guarantee nothing.
_STATUS_NOT_RUN = 503
_STATUS_MAY_HAVE_RUN = 502
_STATUS_DEADLINE_EXCEEDED = 504
_STATUS_WRONG_TARGET = 421

_RETRY_AFTER = b"retry-after"
_LENGTH = re.compile(rb"[0-9]{1,18}")
_SECONDS = re.compile(rb"[0-9]{1,9}")
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
_COUNT = re.compile(rb"[0-9]{1,6}")
_NO_STATEMENT = messages.TargetStatement()
# Headers in which a worker says something about itself, with their names in the log.
_STATEMENTS = {
    names.SERVER_LIMIT: "rate limit",
    names.SERVER_LEAVING: "leaving",
    _RETRY_AFTER: "wait",
}
_LEAVING_VALUES = {b"1": True, b"0": False}
# A longer wait than a day is taken for a mistake.
_MAX_WAIT_S = 86_400.0
_MAX_REASON_LENGTH = 200
# Value of a worker's stated slowdown on a machine that is as fast as usual, and the values that are
# not taken for a mistake.
_USUAL_SLOWDOWN = 100.0
_MIN_SLOWDOWN = 1.0
_MAX_SLOWDOWN = 10_000.0
_MAX_LOGGED_LOAD_LENGTH = 40
# The pieces of a request are held and planned one by one on the loop that serves all requests.
MAX_PIECES_PER_STAGE = 4_096
# Hosts add up the tokens of their requests and tell each other the sums.
MAX_TOKENS = 16_777_216


@attrs.frozen
class PlatformHeaders:
    """Encodes and decodes requests and answers."""

    def decode_request_head(
        self, method: str, raw_target: bytes, headers: messages.HeaderPairs
    ) -> Result[messages.RequestHead, messages.MalformedHead]:
        """Decodes the request line and headers of a client."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(names.REQUEST_ID)
        if not request_id:
            return Error(messages.MalformedHead("the request has no Request-Id"))
        try:
            return Ok(_decode_request_head(method, raw_target, headers, values, request_id))
        except (ValueError, OverflowError) as error:
            reason = f"a header is malformed: {error}"[:_MAX_REASON_LENGTH]
            return Error(messages.MalformedHead(reason))

    def encode_request_head(
        self, head: messages.RequestHead, order: messages.SendOptions, body_size_bytes: int | None
    ) -> bytes:
        """Encodes the request line and headers sent to a worker."""
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

    def decode_answer_head(self, status: int, headers: messages.HeaderPairs) -> messages.AnswerHead:
        """Decodes the status and headers of a worker's answer."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(names.REQUEST_ID)
        length = values.get(b"content-length", b"")
        load, malformed_load = _decode_load(headers)
        return messages.AnswerHead(
            status=status,
            headers=_forwardable_headers(headers, values, frozenset()),
            request_id=None if request_id is None else request_id.decode("latin-1"),
            sealed=names.SERVER_SEAL in values,
            encoded=_is_encoded(headers, values),
            not_run=names.NOT_RUN in values,
            wrong_target=status == _STATUS_WRONG_TARGET,
            load=load,
            malformed_load=malformed_load,
            idle_ms=_parse_idle_ms(values.get(b"keep-alive")),
            content_length=int(length) if _LENGTH.fullmatch(length) else None,
            statement=_parse_statement(status, headers),
        )

    def encode_refusal(
        self, refusal: messages.Refusal, request_id: str | None
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Returns the status, headers and body of an answer generated by the gateway."""
        status = _STATUS_BY_REASON.get(refusal.reason, _STATUS_NOT_RUN)
        if refusal.may_have_run:
            late = refusal.reason is messages.Reason.TOO_LATE
            status = _STATUS_DEADLINE_EXCEEDED if late else _STATUS_MAY_HAVE_RUN
        headers = {"Content-Type": "application/json"}
        if request_id is not None:
            headers["Request-Id"] = request_id
        if refusal.retry_after_ms is not None:
            headers["Retry-After"] = f"{refusal.retry_after_ms / _MS_PER_S:.3f}"
        return status, headers, json.dumps({"error": refusal.reason.value}).encode()


def _decode_request_head(
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
        headers=_forwardable_headers(headers, values, _RESERVED_HEADERS),
        budget_ms=None if budget is None else int(float(budget)),
        key=_parse_bearer_key(values.get(names.AUTHORIZATION)),
        prompt=_parse_prompt(values),
        piece_counts=tuple(_parse_piece_count(item) for item in pieces.split(b",") if item.strip()),
        piece_key=values.get(names.PIECE_KEY, b"").decode("latin-1"),
        last_event_id=None if last_event is None else int(last_event),
    )


def _forwardable_headers(
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


def _parse_bearer_key(authorization: bytes | None) -> str | None:
    if authorization is None or not authorization.lower().startswith(_BEARER_PREFIX):
        return None
    return authorization[len(_BEARER_PREFIX) :].strip().decode("latin-1")


def _parse_piece_count(text: bytes) -> int:
    count = int(text)
    if not 0 <= count <= MAX_PIECES_PER_STAGE:
        raise ValueError(f"a stage has from 0 to {MAX_PIECES_PER_STAGE} pieces")
    return count


def _parse_prompt(values: dict[bytes, bytes]) -> messages.Prompt | None:
    counts = values.get(names.TOKEN_COUNTS)
    if counts is None:
        return None
    prompt_tokens, _, output_tokens = counts.partition(b",")
    parts = []
    for entry in values.get(names.PROMPT_PREFIX, b"").split(b","):
        part_id, separator, tokens = entry.strip().partition(b":")
        if separator:
            parts.append(messages.PromptPart(part_id.decode("latin-1"), _parse_tokens(tokens)))
    model = values.get(names.MODEL, b"").decode("latin-1")
    return messages.Prompt(
        model, _parse_tokens(prompt_tokens), _parse_tokens(output_tokens or b"0"), tuple(parts)
    )


def _parse_tokens(text: bytes) -> int:
    count = int(text)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"a prompt has from 0 to {MAX_TOKENS} tokens")
    return count


def _is_encoded(headers: messages.HeaderPairs, values: dict[bytes, bytes]) -> bool:
    """Returns whether a body is coded, for itself or for this hop only, other than in chunks."""
    if values.get(b"content-encoding", b"identity").lower() != b"identity":
        return True
    codings = [value for name, value in headers if name.lower() == b"transfer-encoding"]
    return any(
        coding.strip().lower() not in _TRANSPARENT_CODINGS
        for value in codings
        for coding in value.split(b",")
    )


def _decode_load(headers: messages.HeaderPairs) -> tuple[messages.LoadSample | None, str | None]:
    """Returns the load that a worker states, and the start of a statement that is malformed."""
    stated = [value for name, value in headers if name.lower() == names.SERVER_LOAD]
    if not stated:
        return None, None
    sample = _parse_load(stated[0]) if len(stated) == 1 else None
    if sample is not None:
        return sample, None
    return None, b"; ".join(stated)[:_MAX_LOGGED_LOAD_LENGTH].decode("latin-1")


def _parse_load(value: bytes) -> messages.LoadSample | None:
    """Returns the load for three counts and, if stated, a slowdown; None for anything else."""
    figures = [part.strip() for part in value.split(b",")]
    if len(figures) not in (3, 4) or not all(_COUNT.fullmatch(part) for part in figures[:3]):
        return None
    running, waiting, slots = (int(part) for part in figures[:3])
    if len(figures) == 3:
        return messages.LoadSample(running, waiting, slots)
    slowdown = _parse_decimal(figures[3])
    if slowdown is None or not _MIN_SLOWDOWN <= slowdown <= _MAX_SLOWDOWN:
        return None
    return messages.LoadSample(running, waiting, slots, slowdown / _USUAL_SLOWDOWN)


def _parse_statement(status: int, headers: messages.HeaderPairs) -> messages.TargetStatement:
    stated: dict[bytes, set[bytes]] = {}
    for name, value in headers:
        lower = name.lower()
        # Only a rejection tells this host to stay away; the header has other uses elsewhere.
        if lower in _STATEMENTS and (lower != _RETRY_AFTER or status == _STATUS_NOT_RUN):
            stated.setdefault(lower, set()).add(value.strip())
    if not stated:
        return _NO_STATEMENT
    # A statement that is made twice with different values is malformed.
    single = {name: values.pop() for name, values in stated.items() if len(values) == 1}
    rate = _parse_decimal(single.get(names.SERVER_LIMIT))
    wait_s = _parse_decimal(single.get(_RETRY_AFTER))
    if wait_s is not None and wait_s > _MAX_WAIT_S:
        wait_s = None
    leaving = _LEAVING_VALUES.get(single.get(names.SERVER_LEAVING, b""))
    decoded = {
        names.SERVER_LIMIT: rate,
        names.SERVER_LEAVING: leaving,
        _RETRY_AFTER: wait_s,
    }
    return messages.TargetStatement(
        max_rate_per_s=rate,
        leaving=leaving,
        wait_ms=None if wait_s is None else math.ceil(wait_s * _MS_PER_S),
        malformed=tuple(_STATEMENTS[name] for name in stated if decoded[name] is None),
    )


def _parse_decimal(value: bytes | None) -> float | None:
    """Returns a number of at least 0, None for anything else."""
    return float(value) if value is not None and _DECIMAL.fullmatch(value) else None


def _parse_idle_ms(header: bytes | None) -> int | None:
    if header is None:
        return None
    for parameter in header.split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and _SECONDS.fullmatch(value.strip()):
            return int(value) * _MS_PER_S
    return None
