"""Reports of a gateway to the controllers, and what they reply."""

import asyncio
import contextlib

import msgspec

from endivespindle.exceptions import PeerError
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.job_runner import JobRunner
from endivespindle.runtime.peer_client import (
    EvidenceUpdate,
    GatewayUpdate,
    GatewayUpdateReply,
    PeerClient,
)
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.usage_counter import UsageCounter
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.rate_shares import merge_shares

__all__ = ["ControllerReports"]

# Interval at which changed counts are sent to the controllers, and the longest
# interval between two updates without a change.
_UPDATE_INTERVAL_S = 0.25
_UPDATE_MAX_INTERVAL_S = 1.0
# Interval until a controller has replied for the first time.
_FIRST_UPDATE_INTERVAL_S = 0.05
# Gateways that are told of crashed servers while no controller replies.
_EVIDENCE_FANOUT = 2
# A node reports a model for this long after its last job that uses it: the next
# step is likely to run on this node, too.
_RECENT_JOB_AGE_S = 20.0


class ControllerReports:
    """Sends usage, demand and limits to all controllers.

    Args:
        ctx: State shared by the components of the node.
        peers: Client for calls to other nodes.
        runner: Jobs of this node.
        directory: Known backend servers.
        usage: Requests started, by usage window.
    """

    __slots__ = ("_ctx", "_directory", "_peers", "_runner", "_usage")

    def __init__(
        self,
        *,
        ctx: RuntimeContext,
        peers: PeerClient,
        runner: JobRunner,
        directory: ServerDirectory,
        usage: UsageCounter,
    ):
        self._ctx = ctx
        self._peers = peers
        self._runner = runner
        self._directory = directory
        self._usage = usage

    async def run(self) -> None:
        """Sends an update on each change, and at the maximum interval."""
        last_sent: GatewayUpdate | None = None
        last_position = 0
        sent_at_s = 0.0
        has_reached_controller = False
        while True:
            # What other VMs know of crashed servers is needed at once.
            await asyncio.sleep(
                _UPDATE_INTERVAL_S
                if has_reached_controller
                else _FIRST_UPDATE_INTERVAL_S
            )
            update = self._build_update()
            position = self._ctx.evidence.position
            now_s = self._ctx.clock.monotonic()
            is_unchanged = (
                last_sent is not None
                and last_sent.counts.windows == update.counts.windows
                and last_sent.required == update.required
                and last_sent.wanted == update.wanted
                and not update.limits
                and last_position == position
            )
            if is_unchanged and now_s - sent_at_s < _UPDATE_MAX_INTERVAL_S:
                continue
            last_sent, last_position, sent_at_s = update, position, now_s
            has_reached_controller |= await self.send()

    def _build_update(self) -> GatewayUpdate:
        required: dict[str, int] = {}
        since_ms = (
            self._ctx.clock.now().timestamp() - _RECENT_JOB_AGE_S
        ) * 1000
        for job in self._runner.jobs.values():
            sub = job.state.submission
            is_recent = job.is_open or sub.submitted_ms >= since_ms
            if is_recent and sub.model:
                known = required.get(sub.model, 0)
                required[sub.model] = max(known, sub.min_version)
        wanted = self._runner.slot_demand()
        limits = self._directory.limit_reports()
        demand_per_s: dict[str, float] = {}
        if limits:
            demand_per_s = self._directory.demand_per_s()
            for service, slots in wanted.items():
                demand_per_s[service] = demand_per_s.get(service, 0.0) + slots
        return GatewayUpdate(
            counts=self._usage.snapshot(),
            required=required,
            wanted=wanted,
            limits=limits,
            demand_per_s=demand_per_s,
        )

    async def send(self) -> bool:
        """Sends an update to all controllers; returns whether one replied."""
        update = self._build_update()
        nodes = self._ctx.fleet.peers(NodeRole.CONTROLLER)
        replies = [
            reply
            for reply in await asyncio.gather(
                *(self._send_update(node, update) for node in nodes)
            )
            if reply is not None
        ]
        self._directory.apply_shares(
            merge_shares(reply.shares for reply in replies)
        )
        if not replies:
            await self._exchange_with_gateways()
        return bool(replies)

    async def _send_update(
        self, node: NodeRecord, update: GatewayUpdate
    ) -> GatewayUpdateReply | None:
        exchange = self._ctx.evidence_exchange
        update = msgspec.structs.replace(
            update, evidence=exchange.message_to(node.name)
        )
        with contextlib.suppress(PeerError):
            # Updates carry absolute values: the next one replaces a lost one.
            reply = await self._peers.send_update(node, update)
            if reply.evidence is not None:
                exchange.apply(node.name, reply.evidence)
            return reply
        return None

    async def _exchange_with_gateways(self) -> None:
        """Tells some gateways of crashed servers while no controller replies.

        Each of them passes it on, so that it spreads to all without a number of
        messages that grows with the fleet.
        """
        exchange = self._ctx.evidence_exchange
        nodes = self._ctx.fleet.peers(NodeRole.GATEWAY)
        count = min(_EVIDENCE_FANOUT, len(nodes))
        for node in self._ctx.rng.sample(nodes, count):
            update = EvidenceUpdate(
                node=self._ctx.settings.name,
                evidence=exchange.message_to(node.name),
            )
            with contextlib.suppress(PeerError):
                # The next round goes to other gateways.
                reply = await self._peers.exchange_evidence(node, update)
                exchange.apply(node.name, reply)
