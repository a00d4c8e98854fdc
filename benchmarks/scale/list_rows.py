"""Large lists of nodes in both forms that the product reads: Consul's health endpoint, and the platform's members.

A Consul row has the fields that Consul's HTTP API documents for `/v1/health/service/:service`, with the node's
serfHealth check beside the service's own. A row of the members has the fields of `badgerbend/platform/names.py`.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

import msgspec

from badgerbend.config.settings import Discovery
from badgerbend.discovery.consul import ConsulTarget
from badgerbend.discovery.consul_rows import consul_directory
from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import MembersTarget, departure_parser, row_parser
from badgerbend.discovery.target import Target
from badgerbend.net.calls import CallResult, Reply
from badgerbend.platform import names
from scale.target import KIND_NAMES, ZONE_NAMES

DRAIN_GRACE_S = 0.25
FIRST_PORT = 20_000


@dataclass(frozen=True, slots=True)
class Node:
    """A node as discovery knows it. started: seconds of Unix time."""

    name: str
    host: str
    port: int
    cell: int
    zone: int
    draining: bool = False
    started: float = 1_700_000_000.0


def make_nodes(count: int, cells: int) -> list[Node]:
    """Returns a number of nodes, spread evenly over cells and zones."""
    return [
        Node(f"rates-{i:05d}", f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", FIRST_PORT, i % cells, i % len(ZONE_NAMES))
        for i in range(count)
    ]


def with_drain_toggled(nodes: Sequence[Node], indices: Collection[int]) -> list[Node]:
    """Returns the same nodes; those at the given indices are draining if they were ready, and the other way round."""
    chosen = set(indices)
    return [replace(node, draining=not node.draining) if i in chosen else node for i, node in enumerate(nodes)]


class ListForm(Protocol):
    """One form of list: the answers that contain it, and the product's code that reads it."""

    name: str
    max_bytes: int  # a longer answer is rejected

    def directory(self, cells: int) -> Directory: ...

    def target(self) -> Target: ...

    def whole(self, nodes: Sequence[Node], version: int) -> Reply:
        """Returns the answer to a broker that has no list yet."""

    def change(self, nodes: Sequence[Node], indices: Collection[int], version: int) -> Reply:
        """Returns the answer to a broker that has the list except for the changes at these indices."""


class ConsulForm:
    """Consul's health endpoint, which returns the complete list at each change."""

    name = "consul"
    max_bytes = Discovery().max_bytes

    def directory(self, cells: int) -> Directory:
        return consul_directory(cells)

    def target(self) -> Target:
        return ConsulTarget(Discovery())

    def whole(self, nodes: Sequence[Node], version: int) -> Reply:
        body = msgspec.json.encode([_consul_row(node, version) for node in nodes])
        return Reply(CallResult.ANSWER, 200, {b"x-consul-index": b"%d" % version}, body)

    def change(self, nodes: Sequence[Node], indices: Collection[int], version: int) -> Reply:
        return self.whole(nodes, version)


class MembersForm:
    """The platform's members: the complete list once, then the rows that changed."""

    name = "members"

    def __init__(self) -> None:
        self.max_bytes = self.target().max_bytes

    def directory(self, cells: int) -> Directory:
        parse_row = row_parser(names.MEMBERS, ZONE_NAMES, KIND_NAMES)
        return Directory(cells, parse_row, shared_clock=True, parse_departure=departure_parser(names.MEMBERS))

    def target(self) -> Target:
        return MembersTarget(names.MEMBERS, ("127.0.0.1", 9), polls_on_request=False, drain_grace_s=DRAIN_GRACE_S)

    def whole(self, nodes: Sequence[Node], version: int) -> Reply:
        return self._reply(nodes, version, whole=True)

    def change(self, nodes: Sequence[Node], indices: Collection[int], version: int) -> Reply:
        return self._reply([nodes[index] for index in indices], version, whole=False)

    def _reply(self, nodes: Sequence[Node], version: int, whole: bool) -> Reply:
        fields = names.MEMBERS
        rows = [_members_row(node) for node in nodes]
        body = msgspec.json.encode({fields.version: version, fields.is_complete: whole, fields.rows: rows})
        return Reply(CallResult.ANSWER, 200, {}, body)


FORMS: tuple[ListForm, ...] = (ConsulForm(), MembersForm())


def _members_row(node: Node) -> dict[str, Any]:
    fields = names.MEMBERS
    return {
        fields.id: node.name,
        fields.address: f"{node.host}:{node.port}",
        fields.zone: ZONE_NAMES[node.zone],
        fields.kind: KIND_NAMES[0],
        fields.cell: node.cell,
        fields.state: "draining" if node.draining else "up",
        fields.size: 1.0,
        fields.started: int(node.started * 1000.0),
    }


def _consul_row(node: Node, version: int) -> dict[str, Any]:
    return {"Node": _consul_node(node), "Service": _consul_service(node, version), "Checks": _consul_checks(node)}


def _consul_node(node: Node) -> dict[str, Any]:
    return {
        "ID": f"40e4a748-2192-161a-0510-{node.name[-5:]:0>12}",
        "Node": f"machine-{node.name}",
        "Address": node.host,
        "Datacenter": "dc1",
        "TaggedAddresses": {"lan": node.host, "wan": node.host},
        "Meta": {"consul-network-segment": ""},
        "CreateIndex": 1_000,
        "ModifyIndex": 1_000,
    }


def _consul_service(node: Node, version: int) -> dict[str, Any]:
    meta = {"cell": str(node.cell), "zone": str(node.zone), "started": f"{node.started:.3f}", "size": "1", "kind": "0"}
    return {
        "ID": node.name,
        "Service": "rates",
        "Tags": [],
        "Address": node.host,
        "TaggedAddresses": {"lan_ipv4": {"Address": node.host, "Port": node.port}},
        "Meta": meta,
        "Port": node.port,
        "Weights": {"Passing": 1, "Warning": 1},
        "EnableTagOverride": False,
        "Namespace": "default",
        "CreateIndex": 1_000,
        "ModifyIndex": version,
    }


def _consul_checks(node: Node) -> list[dict[str, Any]]:
    own, code = ("warning", "429 Too Many Requests") if node.draining else ("passing", "200 OK")
    output = f"HTTP GET http://{node.host}:{node.port}/_health: {code} Output: "
    return [
        _consul_check(node, "serfHealth", "Serf Health Status", "passing", "", "Agent alive and reachable"),
        _consul_check(node, f"service:{node.name}", "Service 'rates' check", own, node.name, output),
    ]


def _consul_check(node: Node, check: str, label: str, status: str, service: str, output: str) -> dict[str, Any]:
    return {
        "Node": f"machine-{node.name}",
        "CheckID": check,
        "Name": label,
        "Status": status,
        "Notes": "",
        "Output": output,
        "ServiceID": service,
        "ServiceName": "rates" if service else "",
        "ServiceTags": [],
        "Namespace": "default",
    }
