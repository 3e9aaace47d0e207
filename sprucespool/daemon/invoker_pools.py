"""Connection pools to the invokers, one for each process of an invoker."""

from __future__ import annotations

from collections.abc import Callable, Container

from sprucespool import interface as it
from sprucespool.gateway import messages as ms
from sprucespool.links import address
from sprucespool.transport.pool import Pool


class InvokerPools:
    """Pools by invoker; `create(host, port, number)` makes one, `number` differs between all of them."""

    def __init__(self, create: Callable[[str, int, int], Pool]):
        self.create = create
        self.pools: dict[str, Pool] = {}
        # Pools to processes that were replaced, until their calls have ended.
        self.replaced: list[Pool] = []
        # The process of each listed invoker, as far as the roster names it.
        self._boots: dict[str, str] = {}
        self._created = 0

    def get(self, name: str) -> Pool:
        """The pool to the invoker's present process, created at the first use."""
        if name not in self.pools:
            host, port = address(name)
            self.pools[name] = self.create(host, port, self._created)
            self._created += 1
        return self.pools[name]

    def apply(self, change: ms.Roster) -> None:
        """Withdraw the calls that wait for an invoker that drains, has left or was replaced by another process."""
        serving = {row.invoker: row.boot for row in change.rows if row.status == it.Status.IN_SERVICE.value}
        whole = change.kind == it.News.REPLACE.value
        named = list(self.pools) if whole else [row.invoker for row in change.rows]
        for name in named:
            if name in self.pools and name not in serving:
                self.pools[name].withdraw_waiting("the invoker drains or has left")
        for name, boot in serving.items():
            if boot and self._boots.get(name, boot) != boot:
                self._replace(name)
        gone = {row.invoker for row in change.rows if row.status == it.Status.GONE.value}
        kept = {} if whole else {name: boot for name, boot in self._boots.items() if name not in gone}
        self._boots = {**kept, **{name: boot for name, boot in serving.items() if boot}}

    def _replace(self, name: str):
        """A new process has the invoker's address: it must not inherit connections, nor the calls that wait for one."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.retire("the invoker was replaced")
            self.replaced.append(pool)

    def close_idle(self, name: str) -> None:
        if name in self.pools:
            self.pools[name].close_idle()

    def check(self, known: Container[str]) -> None:
        """Periodic check; pools of invokers that are not `known` any more are dropped once they are quiet."""
        for name, pool in list(self.pools.items()):
            pool.check()
            if pool.quiet and name not in known:
                del self.pools[name]
        for pool in self.replaced:
            pool.check()
            pool.close_idle()
        self.replaced = [pool for pool in self.replaced if not pool.quiet]

    def close(self) -> None:
        for pool in [*self.pools.values(), *self.replaced]:
            pool.close()
