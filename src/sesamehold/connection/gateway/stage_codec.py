"""Conversion between stage requests and the protobuf messages of gateway hosts."""

from __future__ import annotations

from collections.abc import Iterable

from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection.wire import gateway_pb2
from sesamehold.request.gateway import ports


def request_to_wire(request: ports.StageRequest) -> gateway_pb2.StageOrder:
    """Encodes the order to run the stages of a request."""
    return gateway_pb2.StageOrder(
        run=gateway_pb2.StageRequest(
            request_id=request.request_id,
            piece_key=request.piece_key,
            stages=[
                gateway_pb2.StageWork(
                    index=work.index,
                    service=work.service,
                    after=work.after,
                    piece_count=work.piece_count,
                    result_size_bytes=work.result_size_bytes,
                )
                for work in request.stages
            ],
            urgency=request.urgency,
            aim_ms=request.latency_goal_ms,
            deadline_ms=request.deadline_ms,
            preferred_zone=request.preferred_zone,
            request_ms=request.request_ms,
            made=_pieces_to_wire(request.completed_pieces),
            account=request.account,
        )
    )


def request_from_wire(wire: gateway_pb2.StageRequest) -> ports.StageRequest:
    """Decodes the stages to run for a request."""
    return ports.StageRequest(
        request_id=wire.request_id,
        piece_key=wire.piece_key,
        stages=tuple(
            ports.StageWork(
                index=work.index,
                service=work.service,
                after=tuple(work.after),
                piece_count=work.piece_count,
                result_size_bytes=work.result_size_bytes,
            )
            for work in wire.stages
        ),
        urgency=wire.urgency,
        latency_goal_ms=wire.aim_ms,
        deadline_ms=wire.deadline_ms,
        preferred_zone=wire.preferred_zone,
        request_ms=wire.request_ms,
        completed_pieces=_pieces_from_wire(wire.made),
        account=wire.account,
    )


def progress_to_wire(
    request_id: str, made: Iterable[ports.CompletedPiece]
) -> gateway_pb2.StageProgress:
    """Encodes the piece results that exist for a request."""
    return gateway_pb2.StageProgress(request_id=request_id, made=_pieces_to_wire(made))


def progress_from_wire(wire: gateway_pb2.StageProgress) -> tuple[ports.CompletedPiece, ...]:
    """Decodes the piece results that exist for a request."""
    return _pieces_from_wire(wire.made)


def outcome_to_wire(
    request_id: str, outcome: Result[ports.StageResults, ports.StageFailure]
) -> gateway_pb2.StageOutcome:
    """Encodes the outcome of the stages of a request."""
    match outcome:
        case Result(tag="ok", ok=results):
            return gateway_pb2.StageOutcome(
                request_id=request_id, handles=results.handles, zone=results.zone
            )
        case Result(error=failure):
            return gateway_pb2.StageOutcome(
                request_id=request_id,
                failure=failure.kind,
                retry_after_ms=failure.retry_after_ms,
            )


def outcome_from_wire(
    wire: gateway_pb2.StageOutcome,
) -> Result[ports.StageResults, ports.StageFailure]:
    """Decodes the outcome of the stages of a request."""
    if wire.failure:
        return Error(ports.StageFailure(wire.failure, wire.retry_after_ms))
    return Ok(ports.StageResults(tuple(wire.handles), wire.zone))


def _pieces_to_wire(made: Iterable[ports.CompletedPiece]) -> list[gateway_pb2.MadePiece]:
    return [
        gateway_pb2.MadePiece(
            stage_index=piece.stage_index,
            piece_index=piece.piece_index,
            handle=piece.handle,
            target_id=piece.target_id,
            born_ms=piece.born_ms,
        )
        for piece in made
    ]


def _pieces_from_wire(made: Iterable[gateway_pb2.MadePiece]) -> tuple[ports.CompletedPiece, ...]:
    return tuple(
        ports.CompletedPiece(
            piece.stage_index, piece.piece_index, piece.handle, piece.target_id, piece.born_ms
        )
        for piece in made
    )
