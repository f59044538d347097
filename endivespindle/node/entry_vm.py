"""One entry VM: creates, starts and stops its components."""

import asyncio
import random

from aiohttp import web

from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.gateway.app import build_app
from endivespindle.gateway.completions import CompletionsHandler
from endivespindle.gateway.operators import OperatorsHandler
from endivespindle.gateway.rollout import RolloutHandler
from endivespindle.gateway.services import ServicesHandler
from endivespindle.node.admission import Admission
from endivespindle.node.capacity_role import CapacityRole
from endivespindle.node.config_sync import ConfigSync
from endivespindle.node.context import NodeContext
from endivespindle.node.delivery_log import TRAINER_KIND
from endivespindle.node.dispatch import Dispatcher
from endivespindle.node.engine_poller import EnginePoller
from endivespindle.node.graceful_shutdown import shut_down_gracefully
from endivespindle.node.idempotency import IdempotencyKeys
from endivespindle.node.lease_keeper import LeaseKeeper
from endivespindle.node.network import Network
from endivespindle.node.payload_replication import PayloadReplicator
from endivespindle.node.payloads import open_payload_store
from endivespindle.node.peer_sync import PeerSync
from endivespindle.node.roles import RoleRunner, ShardRole
from endivespindle.node.service_trainers import ServiceTrainers, TrainerRun
from endivespindle.node.traces import TraceCollector
from endivespindle.node.trainer_role import TrainerRole
from endivespindle.node.usage_role import UsageFlusher, UsageRole
from endivespindle.node.weights_role import WeightsRole
from endivespindle.peers.tasks import end_tasks
from endivespindle.register.view import RegisterView
from endivespindle.routing.choice import LeastExpectedWait
from endivespindle.schema.generated.register import Rules, Trainer
from endivespindle.schema.generated.settings import Settings
from endivespindle.store.call_limiter import CallLimiter
from endivespindle.store.change_notifier import ChangeNotifier
from endivespindle.store.circuit_breaker import CircuitBreaker
from endivespindle.store.rate_limited_platform import (
    RateLimitedCapacity,
    RateLimitedStore,
    RateLimitedUsage,
    RateLimitedVms,
)
from endivespindle.store.rate_limiter import CallRateLimiter

__all__ = ["EntryVm"]

_SEND_TIMEOUT_S = 1.5


class EntryVm:
    """One entry VM, created from its settings.

    Attributes:
        ctx: Shared state of its components.
        call_limiter: Limits and counts its calls to the platform; set by
            `start`.
        http_port: Port on which it serves callers; the bound one once started.
        peer_port: Port on which it serves peers; the bound one once started.
    """

    __slots__ = (
        "_admission",
        "_capacity",
        "_clock",
        "_copies",
        "_dispatcher",
        "_flush",
        "_network",
        "_peers",
        "_roles",
        "_roles_task",
        "_runner",
        "_store",
        "_tasks",
        "_trainers",
        "_usage",
        "_vms",
        "call_limiter",
        "ctx",
        "http_port",
        "peer_port",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        ids: IdSource,
        rng: random.Random,
        network: Network,
    ):
        self.ctx = NodeContext(settings=settings, clock=clock, ids=ids, rng=rng)
        self._clock = clock
        self._network = network
        self._tasks: list[asyncio.Task[None]] = []
        self.http_port = settings.listen.port
        self.peer_port = settings.listen.peer_port

    async def start(self) -> None:
        """Binds the ports and starts the background tasks."""
        ctx = self.ctx
        cfg = ctx.settings
        self._network.open(cfg)
        self._connect_platform()
        payloads = open_payload_store(
            folder=cfg.data.folder,
            max_bytes=cfg.data.max_bytes,
            clock=self._clock,
        )
        config_sync = ConfigSync(ctx=ctx, store=self._store)
        self._peers = PeerSync(
            ctx=ctx,
            config=config_sync,
            vm_list=self._vms,
            payloads=payloads,
        )
        self._copies = PayloadReplicator(
            ctx=ctx, peers=self._peers, payloads=payloads
        )
        self._dispatcher = Dispatcher(
            ctx=ctx,
            engine=self._network.engine(),
            plain=self._network.plain_service(),
            chooser=LeastExpectedWait(),
        )
        engine_poller = EnginePoller(
            ctx=ctx,
            engine=self._network.engine(),
            tracker=self._dispatcher.tracker,
        )
        self._flush = UsageFlusher(ctx=ctx, store=self._store)
        self._roles = RoleRunner(
            ctx=ctx, store=self._store, required_roles=self._required_roles
        )
        self._admission = Admission(ctx=ctx)
        await self._peers.server.start()
        self.peer_port = self._peers.server.port
        await self._listen()
        self._peers.advertise_ports(http_port=self.http_port)
        self._tasks = [
            asyncio.create_task(coro)
            for coro in (
                config_sync.watch_register(),
                config_sync.watch_keys(),
                self._peers.run(),
                engine_poller.run(),
                self._admission.run(),
                self._flush.run(),
                self._trainers.run(),
            )
        ]
        self._roles_task = asyncio.create_task(self._roles.run())
        self._tasks.append(self._roles_task)

    async def drain(self) -> None:
        """Waits for running requests, writes all usage and stops the VM."""
        await shut_down_gracefully(
            ctx=self.ctx, flush=self._flush, release_roles=self._hand_over
        )
        await self.stop()

    async def _hand_over(self) -> None:
        await end_tasks([self._roles_task])

    async def stop(self) -> None:
        """Stops all background tasks and closes all sockets."""
        await end_tasks(self._tasks)
        await self._runner.cleanup()
        await self._peers.server.stop()
        await self._network.close()

    def _connect_platform(self) -> None:
        """Wraps every platform interface with one shared call limiter."""
        ctx = self.ctx
        cfg = ctx.settings.platform
        platform = self._network.platform()
        self.call_limiter = CallLimiter(
            rate_limiter=CallRateLimiter(
                clock=ctx.clock,
                reads_per_s=cfg.reads_per_s,
                writes_per_s=cfg.writes_per_s,
            ),
            breaker=CircuitBreaker(clock=ctx.clock, rng=ctx.rng),
            on_call=ctx.metrics.count_platform_call,
        )
        self._store = RateLimitedStore(
            store=platform, limiter=self.call_limiter
        )
        self._capacity = RateLimitedCapacity(
            capacity=platform, limiter=self.call_limiter
        )
        self._usage = RateLimitedUsage(
            usage=platform, limiter=self.call_limiter
        )
        self._vms = RateLimitedVms(
            vms=platform, weights=platform, limiter=self.call_limiter
        )
        self._trainers = ChangeNotifier(
            store=self._store,
            kind=TRAINER_KIND,
            wait_s=cfg.watch_wait_s,
            rng=ctx.rng,
        )

    async def _listen(self) -> None:
        cfg = self.ctx.settings
        admission = self._admission
        finder = TraceCollector(traces=self.ctx.stories, peers=self._peers)
        self._peers.add_handler("FetchStory", finder.handle_request)
        app = build_app(
            ctx=self.ctx,
            completions=CompletionsHandler(
                ctx=self.ctx,
                dispatcher=self._dispatcher,
                admission=admission,
                meter=self.ctx.demand,
            ),
            rollout=RolloutHandler(
                ctx=self.ctx,
                store=self._store,
                copies=self._copies,
                meter=self.ctx.demand,
                watch=self._trainers,
            ),
            services=ServicesHandler(
                ctx=self.ctx,
                dispatcher=self._dispatcher,
                admission=admission,
                keys=IdempotencyKeys(
                    store=self._store,
                    ids=self.ctx.ids,
                    now=lambda: self.ctx.clock.now().timestamp(),
                ),
            ),
            operators=OperatorsHandler(ctx=self.ctx, finder=finder),
        )
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=cfg.limits.drain_timeout_s,
            max_line_size=cfg.limits.max_header_bytes,
            max_field_size=cfg.limits.max_header_bytes,
        )
        await self._runner.setup()
        self.http_port = await self._network.listen(self._runner, cfg)

    def _required_roles(self, view: RegisterView) -> list[ShardRole]:
        """Returns the roles that must run on some VM, each with its shard."""
        usage_role = UsageRole(
            ctx=self.ctx, store=self._store, usage=self._usage
        )
        roles = [
            ShardRole(
                shard="usage", run=usage_role.run, max_send_s=_SEND_TIMEOUT_S
            )
        ]
        services = {trainer.service for trainer in view.trainers.values()}
        roles += [
            self._make_trainers_role(service) for service in sorted(services)
        ]
        for data_centre in view.register.data_centres:
            capacity_role = CapacityRole(
                ctx=self.ctx,
                capacity=self._capacity,
                data_centre=data_centre.name,
            )
            roles.append(
                ShardRole(
                    shard=f"capacity/{data_centre.name}",
                    run=capacity_role.run,
                    max_send_s=(
                        0.0
                        if data_centre.orders_check_fencing
                        else _SEND_TIMEOUT_S
                    ),
                )
            )
        return roles

    def _make_trainers_role(self, service: str) -> ShardRole:
        """Returns the role that runs all trainers of a service."""
        service_trainers = ServiceTrainers(
            ctx=self.ctx, service=service, make_run=self._make_trainer_run
        )
        return ShardRole(
            shard=f"trainers/{service}",
            run=service_trainers.run,
            max_send_s=_SEND_TIMEOUT_S,
        )

    def _make_trainer_run(self, trainer: Trainer, rules: Rules) -> TrainerRun:
        """Returns the task that runs samples and swaps weights of a trainer."""
        weights_role = WeightsRole(
            ctx=self.ctx,
            store=self._store,
            engine=self._network.engine(),
            tracker=self._dispatcher.tracker,
            trainer=trainer,
            rules=rules,
            watch=self._trainers,
        )
        trainer_role = TrainerRole(
            ctx=self.ctx,
            store=self._store,
            dispatcher=self._dispatcher,
            copies=self._copies,
            trainer=trainer.name,
            watch=self._trainers,
            weights=weights_role,
        )

        async def run(keeper: LeaseKeeper) -> None:
            async with asyncio.TaskGroup() as group:
                group.create_task(trainer_role.run(keeper))
                group.create_task(weights_role.run(keeper))

        return run
