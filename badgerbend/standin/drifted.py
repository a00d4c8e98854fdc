"""Runs a broker whose duties read a clock that is fast or slow by a factor.

Usage: `python -m badgerbend.standin.drifted FILE RATE`.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

import uvloop

from badgerbend.broker import Broker, read_subgraph
from badgerbend.config.reading import load
from badgerbend.config.settings import Settings
from badgerbend.graphql.schema import Subgraph
from badgerbend.process import serve


def main(path: Path, rate: float) -> int:
    began = time.monotonic()

    def clock() -> float:
        return began + (time.monotonic() - began) * rate

    def make(settings: Settings, graph: Subgraph, folder: Path) -> Broker:
        return Broker(settings, graph, folder, clock)

    settings = load(path)
    return uvloop.run(serve(make, settings, read_subgraph(settings, path), path.parent))


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), float(sys.argv[2])))
