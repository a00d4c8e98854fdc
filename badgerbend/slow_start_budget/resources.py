"""The resources that the slow-start budget covers."""

from __future__ import annotations

from typing import NamedTuple


class ResourceKey(NamedTuple):
    """Identifies a server that is warming up, or a site that recovers.

    started_ms: the server's start time in the endpoint list, so that each start is a different resource; 0 for a site.
    """

    name: str
    started_ms: float
