"""Connection pools to servers: one for each server on the endpoint list, shared by all calls to it."""

from __future__ import annotations

from collections.abc import Iterator

from badgerbend.discovery.directory import Directory
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits


class ServerPools:
    """Pools by server number. A pool whose server was removed from the list or changed its address is retired: it is
    kept until its last call has ended.
    """

    def __init__(self, directory: Directory, limits: PoolLimits) -> None:
        self.directory, self.limits = directory, limits
        self._current: dict[int, Pool] = {}
        self._retired: list[Pool] = []

    def get(self, node: int) -> Pool | None:
        """The pool of a server, created on first use; None if the server is not on the list."""
        pool = self._current.get(node)
        address = self.directory.addresses.get(node)
        if pool is not None and address is not None and (pool.host, pool.port) != address:
            self._retire(node)
            pool = None
        if pool is None and address is not None:
            pool = self._current[node] = Pool(*address, self.limits)
        return pool

    def endpoint_list_loaded(self) -> None:
        """Retires the pools of servers that the newly loaded list no longer has."""
        for node in [node for node in self._current if node not in self.directory.addresses]:
            self._retire(node)

    def sweep(self, now: float) -> None:
        """Closes connections that have been idle for too long, and all idle ones of retired pools.

        To be called periodically.
        """
        for pool in self._all_pools():
            pool.sweep(now)
        for pool in self._retired:
            pool.close_idle()
        self._retired = [pool for pool in self._retired if pool.open]

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._all_pools():
            pool.close()

    @property
    def opened(self) -> int:
        """Handshakes started so far by the current pools and by the retired pools that are still kept."""
        return sum(pool.opened for pool in self._all_pools())

    def _all_pools(self) -> Iterator[Pool]:
        yield from self._current.values()
        yield from self._retired

    def _retire(self, node: int) -> None:
        self._retired.append(self._current.pop(node))
