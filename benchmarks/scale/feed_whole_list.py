"""The alternative to the feed: at each change a broker reads the complete list from Consul's health endpoint.

One read is measured; the cost per second and the bytes of the whole fleet are extrapolated from it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import msgspec

from badgerbend.discovery.consul_rows import consul_directory
from badgerbend.discovery.directory import ListReader, decode_rows
from scale.feed_content import CELLS
from scale.planned_fleet import ZONES

RUNS = 5


@dataclass(frozen=True, slots=True)
class WholeListCost:
    """The cost of reading the complete list: the size of its body, and the least processor time of several reads."""

    body_bytes: int
    cpu_s: float


def read_whole_list(nodes: int) -> WholeListCost:
    """Measures reading a list in which one row has changed, after a first list, without HTTP and decision logic."""
    directory = consul_directory(CELLS)
    cpu_s = []
    for run in range(RUNS + 1):
        body = msgspec.json.encode([_row(number, draining=number == run) for number in range(nodes)])
        began = time.process_time()
        reader = ListReader(directory, decode_rows(body), 1e6 + run, 1.8e9)
        for _ in reader.read_slices():
            pass
        reader.apply()
        directory.published = True
        cpu_s.append(time.process_time() - began)
        if reader.errors:
            raise ValueError(reader.errors[0])
    return WholeListCost(len(body), min(cpu_s[1:]))


def _row(number: int, draining: bool) -> dict[str, Any]:
    """Returns an instance of the service with the fields that Consul's HTTP API documents."""
    name, host = f"rates-{number:05d}", f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return {
        "Node": _node(name, host),
        "Service": _service(number, name, host),
        "Checks": [_check(name, "serfHealth", "passing"), _check(name, name, "warning" if draining else "passing")],
    }


def _node(name: str, host: str) -> dict[str, Any]:
    return {
        "ID": f"40e4a748-2192-161a-0510-{name[-5:]:0>12}",
        "Node": f"machine-{name}",
        "Address": host,
        "Datacenter": "dc1",
        "TaggedAddresses": {"lan": host, "wan": host},
        "Meta": {"consul-network-segment": ""},
        "CreateIndex": 1_000,
        "ModifyIndex": 1_000,
    }


def _service(number: int, name: str, host: str) -> dict[str, Any]:
    return {
        "ID": name,
        "Service": "rates",
        "Tags": [],
        "Address": host,
        "Meta": {"cell": str(number % CELLS), "zone": str(number % ZONES), "started": "1700000000.000"},
        "Port": 20_000,
        "Weights": {"Passing": 1, "Warning": 1},
        "EnableTagOverride": False,
        "CreateIndex": 1_000,
        "ModifyIndex": 2_000,
    }


def _check(name: str, check: str, status: str) -> dict[str, Any]:
    return {
        "Node": f"machine-{name}",
        "CheckID": check,
        "Name": f"check of {check}",
        "Status": status,
        "Notes": "",
        "Output": "HTTP GET: 200 OK",
        "ServiceID": name,
        "ServiceName": "rates",
        "ServiceTags": [],
    }
