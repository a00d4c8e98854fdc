"""Consul's answers as entries of the list. Pure.

A server is an instance of the service. Its `Meta` states `cell` and may state `zone`, `kind`, `size` and
`started` (seconds of Unix time, a token that changes with each start). Its checks state whether it is ready
(all passing), draining (a warning, or maintenance) or gone (critical).
"""

from __future__ import annotations

from typing import Any

from badgerbend import api
from badgerbend.discovery.directory import Directory, Entry

MAINTENANCE = ("_service_maintenance", "_node_maintenance")


def consul_directory(cells: int) -> Directory:
    """A directory that Consul's answers feed."""
    return Directory(cells, parse_row)


def parse_row(row: Any) -> Entry:
    """One instance of the service. Raises what `Form` says."""
    service = row["Service"]
    meta = service.get("Meta") or {}
    name, host, port = service["ID"], service.get("Address") or row["Node"]["Address"], service["Port"]
    if not isinstance(name, str) or not isinstance(host, str):
        raise ValueError("no id or no address")
    if not isinstance(port, int) or isinstance(port, bool):
        raise ValueError(f"port {port!r}")
    return Entry(
        name,
        (host, port),
        int(meta["cell"]),
        _state(row),
        float(meta.get("started", 0)),
        int(meta.get("zone", 0)),
        int(meta.get("kind", 0)),
        float(meta.get("size", 1)),
    )


def _state(row: Any) -> api.EndpointState:
    checks = row.get("Checks") or []
    if any(c.get("CheckID", "").startswith(MAINTENANCE) and c["Status"] != "passing" for c in checks):
        return api.EndpointState.DRAINING
    states = {c["Status"] for c in checks}
    if not states <= {"passing", "warning", "critical"}:
        raise ValueError(f"unknown status among {sorted(states)}")
    if "critical" in states:
        return api.EndpointState.REMOVED
    return api.EndpointState.DRAINING if "warning" in states else api.EndpointState.READY
