"""Codec for stage calls to the workers of the platform."""

from __future__ import annotations

from collections.abc import Sequence
import json
from typing import Any

import attrs

from sesamehold.platform import names
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports


@attrs.frozen
class PlatformStageCalls:
    """Encodes and decodes calls that run pieces of stages."""

    def encode_run_call(self, target: targets.Target, pieces: Sequence[ports.PieceCall]) -> bytes:
        """Encodes the request that runs pieces."""
        return _encode_call(
            target, names.STAGE_RUN_PATH, {"items": [_encode_piece(piece) for piece in pieces]}
        )

    def decode_results(self, body: bytes, piece_count: int) -> list[ports.PieceResult] | None:
        """Decodes the results; returns None if they are malformed."""
        try:
            items = json.loads(body)["items"]
            results = [
                ports.PieceResult(item.get("handle"), item.get("reason", "")) for item in items
            ]
        except (ValueError, KeyError, TypeError, AttributeError):
            return None
        return results if len(results) == piece_count else None

    def encode_free_call(self, target: targets.Target, handles: Sequence[str]) -> bytes:
        """Encodes the request that frees stored results."""
        return _encode_call(target, names.STAGE_FREE_PATH, {"handles": list(handles)})


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
