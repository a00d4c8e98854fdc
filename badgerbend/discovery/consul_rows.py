"""Parses rows of Consul's health endpoint into entries of the directory. Pure.

A server is an instance of the service. Its `Meta` must state `cell` and may state `zone`, `kind`, `size` and
`started` (seconds of Unix time, which changes with each start). Its health checks determine its state: ready (all are
passing), draining (a warning, or maintenance mode) or removed (critical).
"""

from __future__ import annotations

from typing import Any

from badgerbend import api
from badgerbend.discovery.directory import Directory, Entry

MAINTENANCE = ("_service_maintenance", "_node_maintenance")


def consul_directory(cells: int) -> Directory:
    """Returns a directory that is filled from Consul's answers."""
    return Directory(cells, parse_row)


def parse_row(row: Any) -> Entry:
    """Parses one instance of the service. Raises the errors listed at `directory.RowParser`."""
    service = row["Service"]
    meta = service.get("Meta") or {}
    name, host, port = service["ID"], service.get("Address") or row["Node"]["Address"], service["Port"]
    if not isinstance(name, str) or not isinstance(host, str):
        raise ValueError("the id or the address is not a string")
    if not isinstance(port, int) or isinstance(port, bool):
        raise ValueError(f"the port is not a number: {port!r}")
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
    if any(check.get("CheckID", "").startswith(MAINTENANCE) and check["Status"] != "passing" for check in checks):
        return api.EndpointState.DRAINING
    states = {check["Status"] for check in checks}
    if not states <= {"passing", "warning", "critical"}:
        raise ValueError(f"unknown check status among {sorted(states)}")
    if "critical" in states:
        return api.EndpointState.REMOVED
    return api.EndpointState.DRAINING if "warning" in states else api.EndpointState.READY
