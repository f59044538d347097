"""Runs a lease keeper for each shard that the register requires."""

import asyncio
from collections.abc import Callable

from endivespindle.node.context import NodeContext
from endivespindle.node.lease_keeper import LeaseKeeper, Role
from endivespindle.peers.tasks import end_tasks
from endivespindle.register.view import RegisterView
from endivespindle.store.object_store import ObjectStore

__all__ = ["RoleRunner", "ShardRole"]

_CHECK_INTERVAL_S = 0.5


class ShardRole:
    """A role that one VM at a time performs for one shard.

    Args:
        shard: Name of the shard.
        run: The role.
        max_send_s: Longest send deadline of its operations, in seconds.
    """

    __slots__ = ("max_send_s", "run", "shard")

    def __init__(self, *, shard: str, run: Role, max_send_s: float = 0.0):
        self.shard = shard
        self.run = run
        self.max_send_s = max_send_s


class RoleRunner:
    """Starts and stops lease keepers as the register changes.

    Args:
        ctx: Shared state of the VM.
        store: The object API.
        required_roles: Returns the roles that a register revision requires.
    """

    __slots__ = ("_ctx", "_required_roles", "_store", "_tasks")

    def __init__(
        self,
        *,
        ctx: NodeContext,
        store: ObjectStore,
        required_roles: Callable[[RegisterView], list[ShardRole]],
    ):
        self._ctx = ctx
        self._store = store
        self._required_roles = required_roles
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Adjusts the keepers to each new register revision until cancelled."""
        revision = -1
        try:
            while True:
                view = self._ctx.register.view
                if view is not None and view.revision != revision:
                    revision = view.revision
                    self._apply_roles(self._required_roles(view))
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            await end_tasks(self._tasks.values())

    def _apply_roles(self, roles: list[ShardRole]) -> None:
        shards = {role.shard for role in roles}
        for shard in set(self._tasks) - shards:
            self._tasks.pop(shard).cancel()
        for role in roles:
            if role.shard not in self._tasks:
                keeper = LeaseKeeper(
                    ctx=self._ctx,
                    store=self._store,
                    shard=role.shard,
                    max_send_s=role.max_send_s,
                )
                self._tasks[role.shard] = asyncio.create_task(
                    keeper.run(role.run)
                )
