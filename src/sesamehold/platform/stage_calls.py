"""Codec for stage calls to the workers of the platform."""

from __future__ import annotations

from collections.abc import Sequence
import json
import re
from typing import Any

import attrs

from sesamehold.platform import names
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

# Handles are sent in a header that separates them by commas.
_HANDLE = re.compile(r"[!-+\--~]{1,200}")
_REASONS = frozenset({"", "late", "gone", "room", "error"})
_MALFORMED_RESULT = ports.PieceResult(None, "malformed")


@attrs.frozen
class PlatformStageCalls:
    """Encodes and decodes calls that run pieces of stages."""

    def encode_run_call(self, target: targets.Target, pieces: Sequence[ports.PieceCall]) -> bytes:
        """Encodes the request that runs pieces."""
        return _encode_call(
            target, names.STAGE_RUN_PATH, {"items": [_encode_piece(piece) for piece in pieces]}
        )

    def decode_results(self, body: bytes, piece_count: int) -> list[ports.PieceResult] | None:
        """Decodes the results; returns None if they are malformed.

        A single malformed result counts as a piece without a result.
        """
        try:
            items = json.loads(body)["items"]
        except (ValueError, KeyError, TypeError, RecursionError):
            return None
        if not isinstance(items, list) or len(items) != piece_count:
            return None
        return [_decode_result(item) for item in items]

    def encode_free_call(self, target: targets.Target, handles: Sequence[str]) -> bytes:
        """Encodes the request that frees stored results."""
        return _encode_call(target, names.STAGE_FREE_PATH, {"handles": list(handles)})


def _decode_result(item: Any) -> ports.PieceResult:
    if not isinstance(item, dict):
        return _MALFORMED_RESULT
    handle, reason = item.get("handle"), item.get("reason", "")
    if handle is None and isinstance(reason, str) and reason in _REASONS:
        return ports.PieceResult(None, reason)
    if isinstance(handle, str) and _HANDLE.fullmatch(handle):
        return ports.PieceResult(handle)
    return _MALFORMED_RESULT


def _encode_piece(piece: ports.PieceCall) -> dict[str, Any]:
    item: dict[str, Any] = {
        "id": piece.request_id,
        "stage": piece.stage_index,
        "piece": piece.piece_index,
        "remainingMs": piece.remaining_ms,
    }
    if piece.piece_key is not None:
        item["key"] = piece.piece_key
    else:
        item["inputs"] = list(piece.inputs)
    return item


def _encode_call(target: targets.Target, path: str, document: dict[str, Any]) -> bytes:
    body = json.dumps(document, separators=(",", ":")).encode()
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {target.address}\r\n"
        "Content-Type: application/json\r\n"
        f"Expect-Instance: {target.target_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
