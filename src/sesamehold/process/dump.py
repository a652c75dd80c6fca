"""State dump of one host, without request contents or secrets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from sesamehold.process import cost_table
from sesamehold.process import node as nodes
from sesamehold.version import manifest

# Maximum rows of each table, so that a dump stays readable and its size bounded.
MAX_ROWS = 1_000


def status(node: nodes.Node) -> dict[str, Any]:
    """Returns a one-line summary of a host."""
    return {
        "host_id": node.config.host_id,
        "zone": node.config.zone,
        "ready": node.is_ready(),
        "draining": node.requests.draining,
        "configuration_version": node.version.version if node.version else None,
        "open_requests": len(node.requests),
    }


def _first_rows(table: Mapping[str, Any]) -> dict[str, Any]:
    return dict(sorted(table.items())[:MAX_ROWS])


def _configuration(version: manifest.Manifest | None) -> dict[str, Any]:
    if version is None:
        return {}
    return {
        "version": version.version,
        "host_count": len(version.hosts),
        "zones_out": [zone.name for zone in version.zones if not zone.in_service][:MAX_ROWS],
        "pools": {pool.name: _pool(pool) for pool in version.pools[:MAX_ROWS]},
        "pipelines": [pipeline.name for pipeline in version.pipelines[:MAX_ROWS]],
    }


def _pool(pool: manifest.Pool) -> dict[str, Any]:
    leaving = sum(target.leaving for target in pool.targets)
    return {"target_count": len(pool.targets), "leaving_count": leaving}


def state(node: nodes.Node) -> dict[str, Any]:
    """Returns the decision state with at most `MAX_ROWS` rows per table."""
    return {
        "status": status(node),
        "fleet": node.fleet.dump(),
        "configuration": _configuration(node.version),
        "open_requests_by_account": _first_rows(node.requests.open_by_account()),
        "counters": _first_rows(node.metrics.counters),
        "gauges": _first_rows(node.metrics.gauges),
        "costs": cost_table.to_rows(node.ledger.totals)[:MAX_ROWS],
        "ledger_copies": [
            {"host_id": item.origin.host_id, "incarnation": item.origin.incarnation}
            for item in node.ledger_copies.held()
        ],
        "dispatch": node.slots.dispatcher.state(node.clock.now_ms()),
        "explanations": {"held": len(node.explanations), "limit": node.explanations.limit},
    }
