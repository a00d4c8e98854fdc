"""Connections to servers: a pool for each one on the list, shared by all that a broker sends there."""

from __future__ import annotations

from collections.abc import Iterator

from badgerbend.discovery.directory import Directory
from badgerbend.net.client import Pool, PoolLimits


class ServerPools:
    """Pools by a server's number. One whose server left the list, or moved, is kept until its last call has ended."""

    def __init__(self, directory: Directory, limits: PoolLimits) -> None:
        self.directory, self.limits = directory, limits
        self._current: dict[int, Pool] = {}
        self._retired: list[Pool] = []

    def of(self, node: int) -> Pool | None:
        """The pool of a server, made when it is first asked for; None if it is not on the list."""
        pool = self._current.get(node)
        address = self.directory.addresses.get(node)
        if pool is not None and address is not None and (pool.host, pool.port) != address:
            self._retire(node)
            pool = None
        if pool is None and address is not None:
            pool = self._current[node] = Pool(*address, self.limits)
        return pool

    def list_taken(self) -> None:
        """Another list is in force: pools of servers that left it are retired."""
        for node in [node for node in self._current if node not in self.directory.addresses]:
            self._retire(node)

    def sweep(self, now: float) -> None:
        """Closes what has been idle for too long; to be called often."""
        for pool in self._all():
            pool.sweep(now)
        for pool in self._retired:
            pool.close_idle()
        self._retired = [pool for pool in self._retired if pool.open]

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._all():
            pool.close()

    @property
    def opened(self) -> int:
        """Connections opened so far, by pools that are still kept."""
        return sum(pool.opened for pool in self._all())

    def _all(self) -> Iterator[Pool]:
        yield from self._current.values()
        yield from self._retired

    def _retire(self, node: int) -> None:
        self._retired.append(self._current.pop(node))
