"""What the slow-start budget is for. Pure."""

from __future__ import annotations

from typing import NamedTuple


class ResourceKey(NamedTuple):
    """A server that is warming up, or a site that recovers, by name.

    started_ms: the server's start as the endpoint list states it, so that each start is another resource; 0 for a site.
    """

    name: str
    started_ms: float
