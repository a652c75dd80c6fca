"""Tests encoding and decoding of the headers of the platform."""

from __future__ import annotations

import attrs
from expression import Result
import pytest

from sesamehold.platform import headers
from sesamehold.request.gateway import messages

CODEC = headers.PlatformHeaders()
BASE = (
    (b"Host", b"Pule25.example:80"),
    (b"Request-Id", b"9c41"),
    (b"Authorization", b"Bearer key-1"),
    (b"Deadline-Remaining", b"6000"),
)


def _decode_head(*extra: tuple[bytes, bytes], method: str = "POST") -> messages.RequestHead:
    match CODEC.decode_request_head(method, b"/a/%2Fb?q=1", (*BASE, *extra)):
        case Result(tag="ok", ok=head):
            return head
        case Result(error=fault):
            raise AssertionError(fault)


def test_request_head_is_decoded_into_typed_fields() -> None:
    """Guards against header values that are left undecoded."""
    head = _decode_head(
        (b"Model", b"m"),
        (b"Token-Counts", b"1460,80"),
        (b"Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
        (b"Pieces", b"0,3"),
        (b"Piece-Key", b"7c1e"),
        (b"Last-Event-Id", b"12"),
    )
    assert (head.request_id, head.host, head.path) == ("9c41", "Pule25.example", "/a/%2Fb")
    assert head.raw_target == b"/a/%2Fb?q=1"
    assert (head.budget_ms, head.key, head.last_event_id) == (6000, "key-1", 12)
    assert (head.piece_counts, head.piece_key) == ((0, 3), "7c1e")
    assert head.prompt is not None
    assert (head.prompt.prompt_tokens, head.prompt.output_tokens) == (1460, 80)
    assert head.prompt.session_id == "91bd"


@pytest.mark.parametrize(
    "extra",
    [
        pytest.param((b"Tenant", b"other"), id="account-of-the-caller"),
        pytest.param((b"Hold", b"h"), id="reservation"),
        pytest.param((b"Pin-Milliseconds", b"900"), id="pin"),
        pytest.param((b"Cache-Backup", b"10.0.0.1:1"), id="backup"),
        pytest.param((b"Kv-From", b"10.0.0.1:1/x"), id="import"),
        pytest.param((b"Inputs", b"10.0.0.1:1/x"), id="inputs"),
        pytest.param((b"Expect-Instance", b"i-1"), id="expected-target"),
        pytest.param((b"Request-Priority", b"0"), id="urgency"),
        pytest.param((b"Keep-Alive", b"timeout=9"), id="hop-by-hop"),
        pytest.param((b"Transfer-Encoding", b"chunked"), id="framing"),
    ],
)
def test_header_of_the_caller_is_not_forwarded(extra: tuple[bytes, bytes]) -> None:
    """Guards against forwarding reserved headers set by callers, or their framing."""
    names = {name.lower() for name, _ in _decode_head(extra).headers}
    assert extra[0].lower() not in names
    assert b"authorization" not in names


def test_headers_named_by_connection_are_not_forwarded() -> None:
    """Guards against forwarding hop-by-hop headers listed in `Connection`."""
    head = _decode_head((b"Connection", b"X-One, close"), (b"X-One", b"1"), (b"X-Two", b"2"))
    names = {name for name, _ in head.headers}
    assert b"X-One" not in names
    assert b"X-Two" in names


@pytest.mark.parametrize(
    ("order", "size_bytes", "lines", "absent"),
    [
        pytest.param(
            messages.SendOptions(900, "i-1", "bozi"),
            5,
            [b"Deadline-Remaining: 900", b"Expect-Instance: i-1", b"Tenant: bozi"],
            [b"Inputs", b"Request-Priority", b"Last-Event-Id"],
            id="plain",
        ),
        pytest.param(
            messages.SendOptions(900, "i-1", None, 2, ("a:1/x", "b:2/y"), 7),
            5,
            [b"Inputs: a:1/x,b:2/y", b"Request-Priority: 2", b"Last-Event-Id: 7"],
            [b"Tenant"],
            id="engine",
        ),
        pytest.param(
            messages.SendOptions(900, "i-1", None, inputs=()),
            None,
            [b"Inputs: "],
            [b"Content-Length"],
            id="no-body-no-inputs",
        ),
    ],
)
def test_send_head(
    order: messages.SendOptions,
    size_bytes: int | None,
    lines: list[bytes],
    absent: list[bytes],
) -> None:
    """Checks the headers sent to a target, and that path and query are unchanged."""
    data = CODEC.encode_request_head(_decode_head(), order, size_bytes)
    assert data.startswith(b"POST /a/%2Fb?q=1 HTTP/1.1\r\n")
    assert data.endswith(b"\r\n\r\n")
    sent = data.split(b"\r\n")
    assert all(line in sent for line in lines)
    assert not any(line.startswith(name + b":") for line in sent for name in absent)


@pytest.mark.parametrize(
    ("header", "value"),
    [
        pytest.param(b"Deadline-Remaining", b"soon", id="deadline"),
        pytest.param(b"Deadline-Remaining", b"1e999", id="deadline-too-large"),
        pytest.param(b"Deadline-Remaining", b"nan", id="deadline-not-a-number"),
        pytest.param(b"Token-Counts", b"a,b", id="tokens"),
        pytest.param(b"Pieces", b"x", id="pieces"),
        pytest.param(b"Pieces", b"1,-1", id="pieces-negative"),
        pytest.param(b"Pieces", b"1,4097", id="pieces-too-many"),
        pytest.param(b"Pieces", b"9" * 5_000, id="pieces-5000-digits"),
        pytest.param(b"Last-Event-Id", b"-", id="last-event"),
    ],
)
def test_malformed_header_is_refused(header: bytes, value: bytes) -> None:
    """Guards against uncaught exceptions on malformed input."""
    assert CODEC.decode_request_head("GET", b"/", (*BASE, (header, value))).is_error()


def test_request_without_id_is_refused() -> None:
    """Guards against answers that cannot be matched to a request."""
    assert CODEC.decode_request_head("GET", b"/", ((b"Host", b"a"),)).is_error()


@pytest.mark.parametrize(
    ("status", "pairs", "changes"),
    [
        pytest.param(200, ((b"Server-Seal", b"s"),), {"sealed": True}, id="sealed"),
        pytest.param(503, ((b"Not-Run", b"1"),), {"not_run": True}, id="not-run"),
        pytest.param(421, (), {"wrong_target": True}, id="wrong-target"),
        pytest.param(200, ((b"Content-Encoding", b"gzip"),), {"encoded": True}, id="encoded"),
        pytest.param(200, ((b"Keep-Alive", b"timeout=5, max=2"),), {"idle_ms": 5000}, id="idle"),
        pytest.param(200, ((b"Content-Length", b"7"),), {"content_length": 7}, id="length"),
        pytest.param(200, ((b"Request-Id", b"9c"),), {"request_id": "9c"}, id="id"),
    ],
)
def test_answer_head(status: int, pairs: messages.HeaderPairs, changes: dict[str, object]) -> None:
    """Checks which properties are derived from the head of an answer."""
    head = CODEC.decode_answer_head(status, pairs)
    expected = attrs.evolve(messages.AnswerHead(status, head.headers), **changes)
    assert head == expected


@pytest.mark.parametrize(
    ("values", "load"),
    [
        pytest.param(["3,1,8"], messages.LoadSample(3, 1, 8), id="three-figures"),
        pytest.param(["3,1,8,250"], messages.LoadSample(3, 1, 8, 2.5), id="four-figures"),
        pytest.param([" 3, 1 ,8,\t100 "], messages.LoadSample(3, 1, 8, 1.0), id="whitespace"),
        pytest.param(["9,0,8,62.5"], messages.LoadSample(9, 0, 8, 0.625), id="fraction"),
        *(
            pytest.param([text], None, id=text[:12] or "empty")
            for text in (
                *("", "many", "3", "3,1", "3,1,", ",1,8", "3,1,8,", "3,1,8,100,1", "3,1,8,100,"),
                *("-3,1,8", "3,-1,8,100", "+3,1,8", "3.5,1,8", "3_0,1,8", "1e3,1,8", "9" * 400),
                *("1234567,1,8", "3,1,8,0", "3,1,8,-100", "3,1,8,nan", "3,1,8,inf", "3,1,8,1e2"),
                *("3,1,8,10001", "3,1,8," + "9" * 5_000, "3 1 8 100", "3;1;8;100", "3,1,8,\xb2"),
            )
        ),
        pytest.param(["3,1,8,100", "4,1,8,100"], None, id="twice"),
        pytest.param(["3,1,8,100", "3,1,8,100"], None, id="twice-the-same"),
    ],
)
def test_load_of_a_worker(values: list[str], load: messages.LoadSample | None) -> None:
    """Guards against dropped samples, and against odd ones that count or go unnoticed.

    Whether a head is that of an answer must not depend on the figures in it.
    """
    pairs = tuple((b"Server-Load", value.encode("latin-1")) for value in values)
    head = CODEC.decode_answer_head(200, pairs)
    assert head.load == load
    assert head.states_load
    assert (head.malformed_load is None) == (load is not None)
    assert len(head.malformed_load or "") <= 40


@pytest.mark.parametrize(
    ("refusal", "status"),
    [
        pytest.param(messages.Refusal(messages.Reason.NO_CONFIGURATION), 503, id="no-config"),
        pytest.param(messages.Refusal(messages.Reason.NO_ROUTE), 404, id="no-route"),
        pytest.param(messages.Refusal(messages.Reason.UNKNOWN_KEY), 401, id="unknown-key"),
        pytest.param(messages.Refusal(messages.Reason.BODY_TOO_LARGE), 413, id="too-large"),
        pytest.param(messages.Refusal(messages.Reason.HEADER_TOO_LARGE), 431, id="large-header"),
        pytest.param(messages.Refusal(messages.Reason.TOO_LATE), 503, id="late-not-run"),
        pytest.param(messages.Refusal(messages.Reason.TOO_LATE, True), 504, id="late-may-have-run"),
        pytest.param(
            messages.Refusal(messages.Reason.OUTCOME_UNKNOWN, True), 502, id="outcome-unknown"
        ),
        pytest.param(messages.Refusal(messages.Reason.INTERNAL, True), 502, id="internal"),
    ],
)
def test_refusal_status_guarantees_not_run_only_if_true(
    refusal: messages.Refusal, status: int
) -> None:
    """Guards the statuses that callers rely on as a guarantee that the request has not run."""
    answer, _, _ = CODEC.encode_refusal(attrs.evolve(refusal, retry_after_ms=1_250), "9c")
    assert answer == status


def test_refusal_sets_retry_after_in_seconds() -> None:
    """Guards against a `Retry-After` in another unit than seconds."""
    refusal = messages.Refusal(messages.Reason.NO_TARGET, retry_after_ms=1_250)
    _, headers_out, _ = CODEC.encode_refusal(refusal, "9c")
    assert headers_out["Retry-After"] == "1.250"
    assert headers_out["Request-Id"] == "9c"


@pytest.mark.parametrize(
    ("status", "fields", "expected"),
    [
        pytest.param(200, [("Server-Limit", "1.5")], {"max_rate_per_s": 1.5}, id="rate"),
        pytest.param(200, [("Server-Limit", "0")], {"max_rate_per_s": 0.0}, id="no rate at all"),
        pytest.param(200, [("server-limit", "2")] * 2, {"max_rate_per_s": 2.0}, id="rate twice"),
        pytest.param(200, [("Server-Leaving", "1")], {"leaving": True}, id="leaving"),
        pytest.param(200, [("Server-Leaving", "0")], {"leaving": False}, id="not leaving"),
        pytest.param(503, [("Retry-After", "0.25")], {"wait_ms": 250}, id="wait"),
        pytest.param(200, [("Retry-After", "3")], {}, id="wait of a success"),
        *(
            pytest.param(200, [("Server-Limit", text)], {"malformed": ("rate limit",)}, id=text)
            for text in ("-1", "nan", "inf", "1e3", "many", "9" * 40, "1,2")
        ),
        *(
            pytest.param(503, [("Retry-After", text)], {"malformed": ("wait",)}, id=f"wait {text}")
            for text in ("-1", "soon", "86401", "Fri, 04 Dec 2026 00:00:00 GMT")
        ),
        pytest.param(
            200, [("Server-Leaving", "yes")], {"malformed": ("leaving",)}, id="not a flag"
        ),
        pytest.param(
            503,
            [("Retry-After", "1"), ("Retry-After", "2"), ("Server-Leaving", "1")],
            {"leaving": True, "malformed": ("wait",)},
            id="two waits",
        ),
    ],
)
def test_statements_of_a_worker(
    status: int, fields: list[tuple[str, str]], expected: dict[str, object]
) -> None:
    """Guards against a bad value that restricts a worker, or that hides the other statements."""
    pairs = tuple((name.encode(), value.encode()) for name, value in fields)
    head = CODEC.decode_answer_head(status, pairs)
    assert head.statement == messages.TargetStatement(**expected)
