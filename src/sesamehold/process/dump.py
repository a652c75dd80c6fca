"""State dump of one host, without request contents or secrets."""

from __future__ import annotations

from typing import Any

from sesamehold.process import node as nodes

# Keeps a dump readable and its size bounded, whatever the state holds.
MAX_ROWS = 1_000


def status(node: nodes.Node) -> dict[str, Any]:
    """Returns a short summary of a host."""
    return {
        "host_id": node.config.host_id,
        "zone": node.config.zone,
        "ready": node.is_ready(),
        "draining": node.requests.draining,
        "configuration_version": node.version.version if node.version else None,
        "open_requests": len(node.requests),
    }


def cost_rows(node: nodes.Node) -> list[dict[str, Any]]:
    """Returns the cost table, with each account's cost split over its partners."""
    rows: list[dict[str, Any]] = []
    for key, totals in node.ledger.totals.items():
        account = node.version.account(key.account) if node.version else None
        shares = {share.partner: share.fraction for share in account.partners} if account else {}
        rows.append(
            {
                "account": key.account,
                "pipeline": key.pipeline,
                "stage": key.stage,
                "pool": key.pool,
                "attempts": totals.attempts,
                "units": totals.units,
                "cost": totals.cost,
                "wasted_cost": totals.wasted_cost,
                "partner_shares": shares,
            }
        )
    return rows


def state(node: nodes.Node) -> dict[str, Any]:
    """Returns the whole decision state, bounded to `MAX_ROWS` rows for each table."""
    return {
        "status": status(node),
        "fleet": node.fleet.dump(),
        "counters": dict(sorted(node.metrics.counters.items())[:MAX_ROWS]),
        "costs": cost_rows(node)[:MAX_ROWS],
        "explanations": {"held": len(node.explanations), "limit": node.explanations.limit},
    }
