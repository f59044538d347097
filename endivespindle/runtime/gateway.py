"""Gateway role: serves the requests of callers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
from aiohttp import web

from endivespindle.backends.body_memory import BodyMemory
from endivespindle.batch.job_calls import job_call_methods
from endivespindle.batch.job_memory import JobMemory
from endivespindle.peers.tasks import end_tasks
from endivespindle.platform.jobs import JOB_CALLS
from endivespindle.platform.servers import PlatformServerApi
from endivespindle.runtime.borrowed_path import BorrowingServerApi
from endivespindle.runtime.caller_server import close_server, open_server
from endivespindle.runtime.context import RuntimeContext
from endivespindle.runtime.controller_reports import ControllerReports
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.ingress import Ingress
from endivespindle.runtime.job_runner import JobRunner
from endivespindle.runtime.job_service import JobService
from endivespindle.runtime.job_store import JobStore
from endivespindle.runtime.lent_path import PathLender
from endivespindle.runtime.monitored_path import MonitoredServerApi
from endivespindle.runtime.origin_exchange import SharedOrigins
from endivespindle.runtime.path_messages import LEND_PATH
from endivespindle.runtime.path_probing import PathProber, connect_to_server
from endivespindle.runtime.peer_client import (
    EvidenceUpdate,
    PeerClient,
    WeightLoadUpdate,
)
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.relay import MAX_RELAY_WAIT_S, RelayedStore
from endivespindle.runtime.sessions import (
    open_backend_session,
    open_single_use_backend_session,
)
from endivespindle.runtime.settings import NodeRole
from endivespindle.runtime.shared_watchers import (
    make_config_watcher,
    make_evacuation_watcher,
    make_node_watcher,
    make_server_watcher,
)
from endivespindle.runtime.software_store import StoredSoftwareProof
from endivespindle.runtime.store_proxy import ProxiedStore
from endivespindle.runtime.streaming import StreamRelay
from endivespindle.runtime.supervision import run_supervised
from endivespindle.runtime.usage_counter import UsageCounter
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.attempt_guard import AttemptGuard
from endivespindle.serving.directory import ServerDirectory, ServerView
from endivespindle.serving.drain_window import DrainWindow
from endivespindle.serving.evidence_exchange import EvidenceMessage
from endivespindle.serving.placement_report import (
    PlacementReport,
    report_candidates,
)
from endivespindle.serving.relay_selection import RelaySelector
from endivespindle.serving.server_paths import PathState, ServerPaths
from endivespindle.serving.stream_origins import StreamOrigins
from endivespindle.store.object_store import ObjectStore

__all__ = ["Gateway"]

# Requests with tenant keys are refused once the configuration has been
# unconfirmed for the key revocation bound less this margin: an attempt may take
# 0.6 s to connect to its server, and clocks drift.
_KEY_MARGIN_S = 0.8
# Lower limit of that time, as a fraction of the bound.
_MIN_KEY_FRACTION = 0.6
# Wait of one configuration watch as a fraction of the key revocation bound: the
# next watch must be answered before requests with keys are refused.
_CONFIG_WAIT_FRACTION = 0.27
# Probes detect a dead connection of the server watch, so that its wait only
# bounds how long a lost event of the store goes unnoticed.
_SERVER_WATCH_WAIT_S = 5.0
# Wait of one watch of the evacuations as a fraction of the time by which one
# has to be in force: a relay that falls silent is replaced within it.
_EVACUATION_WAIT_FRACTION = 0.3
# Nodes join and leave rarely, and the other watches detect a silent relay
# sooner.
_NODE_WATCH_WAIT_S = 10.0
# Time for which a starting node waits to learn of its relay before it lists
# from the store directly, as all nodes of a fleet may start at once.
_RELAY_DISCOVERY_TIMEOUT_S = 1.0
# Interval at which a gateway reads the store itself although its relays cannot
# reach it. The store may turn relays away and serve others, but while it is
# down every gateway of the fleet makes these calls.
_STORE_PROBE_INTERVAL_S = 2.0
# Jobs are kept for twice the required time, as clocks differ and readers may be
# late.
_JOB_RETENTION_FACTOR = 2.0
_JOB_EXPIRY_INTERVAL_S = 10.0
# Interval at which jobs are handed over while this VM is cut off from their
# servers: one may be assigned to it meanwhile.
_HAND_OVER_INTERVAL_S = 0.2
# Idle connections of callers are closed after this time. The idle timeout of
# the configuration has the same value in all known deployments, and connections
# are not reopened to apply a change of it.
_IDLE_TIMEOUT_S = 15.0
_MAX_HEADER_BYTES = 65_536
# Interval at which a stopping gateway looks for requests in progress.
_DRAIN_CHECK_S = 0.05
# Time for the last answers to readiness checks.
_READINESS_CLOSE_S = 0.2


class Gateway:
    """Serves callers until it is stopped.

    Args:
        parts: Runtime context that the components of the node share.
        store: Object store.
        peer_server: Server for calls from other nodes.
        peers: Client for calls to other nodes.
    """

    __slots__ = (
        "_api",
        "_config",
        "_ctx",
        "_cut_off",
        "_direct",
        "_directory",
        "_drain",
        "_ingress",
        "_jobs",
        "_lender",
        "_paths",
        "_peers",
        "_prober",
        "_ready_runner",
        "_relay_selector",
        "_reports",
        "_runner",
        "_sessions",
        "_store",
        "_tasks",
        "_usage",
        "_web_runner",
    )

    def __init__(
        self,
        *,
        parts: RuntimeContext,
        store: ObjectStore,
        peer_server: PeerServer,
        peers: PeerClient,
    ):
        self._ctx = parts
        self._store = store
        self._peers = peers
        self._tasks: list[asyncio.Task[None]] = []
        self._cut_off = asyncio.Event()
        settings, clock = parts.settings, parts.clock
        self._drain = DrainWindow(clock=clock, grace_s=settings.timing.grace_s)
        self._config = ActiveConfig(
            clock=clock,
            max_unconfirmed_s=self._max_unconfirmed_s(),
            apply_s=settings.timing.config_apply_s,
        )
        self._directory = ServerDirectory(
            clock=clock,
            on_leaving=parts.record_leaving_server,
            on_limit=parts.record_server_limit,
            on_response=self._record_response,
            count_vms=lambda: len(parts.fleet.peers(NodeRole.GATEWAY)) + 1,
            on_cold=parts.record_cold_server,
            cold_limit=lambda service: parts.cold_limit(
                self._config.service(service)
            ),
            are_evacuations_known=settings.timing.evacuate_s is None,
        )
        self._relay_selector = RelaySelector(
            vm=settings.name,
            data_centre=settings.data_centre,
            clock=clock,
            rng=parts.rng,
            probe_interval_s=_STORE_PROBE_INTERVAL_S,
        )
        self._usage = UsageCounter(
            clock=clock,
            window_s=settings.timing.usage_window_s,
            node=settings.name,
            incarnation=parts.fleet.local_node.incarnation,
        )
        self._sessions = [
            open_backend_session(),
            open_single_use_backend_session(),
        ]
        self._paths = paths = ServerPaths(
            clock=clock,
            count_servers=lambda service: len(
                self._directory.available_servers(service)
            ),
            near_servers=lambda service: [
                view.entry.name
                for view in self._directory.available_servers(service)
                if view.entry.data_centre == settings.data_centre
            ],
            on_change=self._apply_path_change,
        )
        direct = MonitoredServerApi(
            api=PlatformServerApi(
                session=self._sessions[0],
                single_use=self._sessions[1],
                memory=BodyMemory(memory_bytes=settings.memory_mb * 1_048_576),
                log=parts.log,
            ),
            paths=paths,
            clock=clock,
        )
        self._direct = direct
        self._prober = PathProber(
            paths=paths,
            directory=self._directory,
            data_centre=settings.data_centre,
            connect=connect_to_server,
            rng=parts.rng,
        )
        api = self._api = BorrowingServerApi(
            ctx=parts,
            direct=direct,
            paths=paths,
            prober=self._prober,
            session=peers.session,
        )
        forwarder = Forwarder(
            api=api,
            directory=self._directory,
            clock=clock,
            rng=parts.rng,
            data_centre=settings.data_centre,
            log=parts.log,
            metrics=parts.metrics,
            guard=AttemptGuard(evidence=parts.evidence),
        )
        memory = JobMemory.for_process(
            memory_bytes=settings.memory_mb * 1_048_576
        )
        job_store = JobStore(
            store=self._proxied_store(),
            ids=parts.ids,
            value_bytes=settings.limits.value_bytes,
            cache_bytes=memory.cache_bytes,
        )
        owner_id = parts.fleet.local_node.owner_id
        self._runner = JobRunner(
            store=job_store,
            api=api,
            forwarder=forwarder,
            directory=self._directory,
            config=self._config,
            clock=clock,
            rng=parts.rng,
            owner_id=owner_id,
            data_centre=settings.data_centre,
            log=parts.log,
            metrics=parts.metrics,
            memory=memory,
            prompt_tokens_per_s=settings.prompt_tokens_per_s,
        )
        self._reports = ControllerReports(
            ctx=parts,
            peers=peers,
            runner=self._runner,
            directory=self._directory,
            usage=self._usage,
        )
        self._jobs = JobService(
            runner=self._runner,
            store=job_store,
            fleet=parts.fleet,
            peers=peers,
            clock=clock,
            log=parts.log,
            reaching=api.reaching_gateways,
        )
        origins = StreamOrigins(clock=clock)
        peer_server.serve_stream_origins(origins)
        streams = StreamRelay(
            api=api,
            origins=SharedOrigins(
                origins=origins,
                fleet=parts.fleet,
                peers=peers,
                log=parts.log,
            ),
            proof=StoredSoftwareProof(
                store=self._proxied_store(),
                directory=self._directory,
                is_first_start=settings.is_first_start,
                clock=clock,
                ids=parts.ids,
                log=parts.log,
            ),
            forwarder=forwarder,
            clock=clock,
            log=parts.log,
            metrics=parts.metrics,
        )
        self._ingress = Ingress(
            config=self._config,
            forwarder=forwarder,
            streams=streams,
            jobs=self._jobs,
            usage=self._usage,
            clock=clock,
            rng=parts.rng,
            owner_id=owner_id,
            drain=self._drain,
            memory_bytes=settings.memory_mb * 1_048_576,
            log=parts.log,
            metrics=parts.metrics,
        )
        lender = self._lender = PathLender(
            ctx=parts,
            api=direct,
            paths=paths,
            directory=self._directory,
            config=self._config,
            count_own=lambda: self._ingress.active_requests,
        )
        peer_server.serve_placement(self._explain_placement)
        peer_server.serve_stream(LEND_PATH, lender.handle)
        peer_server.serve_jobs(
            answer=self._jobs.answer_as_owner,
            on_owner_update=self._jobs.apply_owner_update,
            prepare=self._jobs.accept_preparation,
            assign=self._jobs.accept_assignment,
            release=self._jobs.release,
        )
        peer_server.serve_weight_load_updates(self._apply_weight_load)
        peer_server.serve_evidence_updates(self._apply_evidence)

    async def start(self) -> None:
        """Starts the background tasks and listens for callers.

        Raises:
            ValueError: The settings lack a listening address.
        """
        ctx = self._ctx
        config_wait_s = ctx.settings.timing.revoke_s * _CONFIG_WAIT_FRACTION
        nodes = make_node_watcher(
            ctx, self._relayed_store(max_wait_s=_NODE_WATCH_WAIT_S)
        )
        config = make_config_watcher(
            ctx,
            self._relayed_store(wait_for_relay_s=_RELAY_DISCOVERY_TIMEOUT_S),
            self._config,
            wait_s=config_wait_s,
        )
        servers = make_server_watcher(
            ctx,
            self._relayed_store(wait_for_relay_s=_RELAY_DISCOVERY_TIMEOUT_S),
            self._directory,
            wait_s=_SERVER_WATCH_WAIT_S,
            on_change=self._runner.wake,
        )
        self._watch_evacuations()
        for name, run in (
            ("config_watcher", config.run),
            ("server_watcher", servers.run),
            ("node_watcher", nodes.run),
            ("job_runner", self._runner.run),
            ("controller_reports", self._reports.run),
            ("job_expiry", self._expire_jobs),
            ("job_handover", self._hand_over_unreached_jobs),
        ):
            self._start_task(name, run)
        settings = ctx.settings
        if settings.callers is None or settings.readiness is None:
            raise ValueError(
                "a gateway needs the settings callers and readiness"
            )
        self._web_runner = await open_server(
            web.Server(
                self._ingress.handle,
                access_log=None,
                handler_cancellation=True,
                keepalive_timeout=_IDLE_TIMEOUT_S,
                max_line_size=_MAX_HEADER_BYTES,
                max_field_size=_MAX_HEADER_BYTES,
                auto_decompress=False,
            ),
            settings.callers,
            shutdown_timeout_s=settings.timing.grace_s,
        )
        self._ready_runner = await open_server(
            web.Server(self._handle_readiness, access_log=None),
            settings.readiness,
            shutdown_timeout_s=_READINESS_CLOSE_S,
        )

    def _watch_evacuations(self) -> None:
        """Follows evacuations, if the deployment has them."""
        evacuate_s = self._ctx.settings.timing.evacuate_s
        if evacuate_s is None:
            return
        wait_s = evacuate_s * _EVACUATION_WAIT_FRACTION
        watcher = make_evacuation_watcher(
            self._ctx,
            self._relayed_store(
                max_wait_s=wait_s, wait_for_relay_s=_RELAY_DISCOVERY_TIMEOUT_S
            ),
            self._directory,
            wait_s=wait_s,
            on_change=self._runner.wake,
        )
        self._start_task("evacuation_watcher", watcher.run)

    def _start_task(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        self._tasks.append(
            asyncio.create_task(run_supervised(name, run, log=self._ctx.log))
        )

    def _relayed_store(
        self,
        *,
        max_wait_s: float = MAX_RELAY_WAIT_S,
        wait_for_relay_s: float = 0.0,
    ) -> RelayedStore:
        """Returns a store that lists and watches through the controllers."""
        return RelayedStore(
            store=self._store,
            peers=self._peers,
            relays=lambda: self._ctx.fleet.peers(NodeRole.CONTROLLER),
            selector=self._relay_selector,
            clock=self._ctx.clock,
            on_relay_failure=lambda name, error: self._ctx.log.event(
                "relay_shunned", relay=name, error=error
            ),
            on_relay_stale=lambda name, lag_s: self._ctx.log.event(
                "relay_stale", relay=name, age_s=round(lag_s, 2)
            ),
            max_wait_s=max_wait_s,
            wait_for_relay_s=wait_for_relay_s,
        )

    def _proxied_store(self) -> ProxiedStore:
        """Returns a store that controllers reach if this VM does not."""

        def log_switch(error: str) -> None:
            event = "store_proxy_used" if error else "store_proxy_unused"
            self._ctx.log.state_change(event, error=error)

        return ProxiedStore(
            store=self._store,
            peers=self._peers,
            relays=lambda: self._ctx.fleet.peers(NodeRole.CONTROLLER),
            selector=self._relay_selector,
            clock=self._ctx.clock,
            on_switch=log_switch,
        )

    async def stop(self) -> None:
        """Drains: refuses new jobs, hands over open ones, finishes requests."""
        start_s = self._ctx.clock.monotonic()
        self._drain.begin()
        self._jobs.draining = True
        self._lender.is_draining = True
        handover = asyncio.create_task(self._jobs.hand_over_all())
        await self._drain_until(
            lambda: (
                self._drain.has_left_balancer()
                and handover.done()
                and not self._is_busy()
            )
        )
        ended_requests = await close_server(
            self._web_runner,
            wait_for=self._drain_until,
            end_requests=self._ingress.end_requests,
        )
        self._ctx.log.state_change(
            "drained",
            seconds=round(self._ctx.clock.monotonic() - start_s, 2),
            ended_requests=ended_requests,
            lent_requests=self._lender.lent_requests,
            handed_over=handover.done(),
        )
        await end_tasks([handover])
        await self._reports.send()
        await self._ready_runner.cleanup()
        await end_tasks(self._tasks)
        await self._api.close()
        for session in self._sessions:
            await session.close()

    async def _drain_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition, at most until the shutdown must go on."""
        while True:
            if self._drain.is_over() or condition():
                return
            await asyncio.sleep(_DRAIN_CHECK_S)

    def _is_busy(self) -> bool:
        """Returns whether callers wait for responses through this VM."""
        return bool(self._ingress.active_requests or self._lender.lent_requests)

    def _max_unconfirmed_s(self) -> float:
        revoke_s = self._ctx.settings.timing.revoke_s
        return max(revoke_s * _MIN_KEY_FRACTION, revoke_s - _KEY_MARGIN_S)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.Response(status=200 if self._is_ready() else 503)

    def _is_ready(self) -> bool:
        return (
            not self._drain.is_open
            and self._config.version > 0
            and self._config.is_fresh()
            and len(self._directory) > 0
            and self._directory.are_evacuations_known
        )

    def _explain_placement(self, host: str, path: str) -> PlacementReport:
        """Tells where a request would be sent now, without sending it."""
        config = self._config
        report = PlacementReport(
            vm=self._ctx.settings.name,
            is_ready=self._is_ready(),
            config_version=config.version,
            # JSON knows no infinity: an age of -1 stands for never.
            config_age_s=round(config.confirmation_age_s(), 2)
            if config.version
            else -1.0,
            job_call_methods=job_call_methods(path, syntax=JOB_CALLS),
        )
        route = config.route(host=host, path=path)
        if route is None:
            return report
        services = [weighted.service for weighted in route.services]
        return msgspec.structs.replace(
            report,
            route=route.name,
            kind=route.kind.value,
            path={name: self._paths.state(name).value for name in services},
            candidates={
                name: report_candidates(
                    self._directory.servers(name),
                    data_centre=self._ctx.settings.data_centre,
                    max_start_delay_s=route.target_latency_s,
                )
                for name in services
            },
        )

    def _apply_path_change(self, service: str, state: PathState) -> None:
        ended = 0
        if state is PathState.SUSPECTED:
            ended = self._direct.end_silent_attempts(service)
            # The other services are likely to be cut off, too.
            self._prober.probe_all()
        if state is not PathState.DIRECT:
            self._directory.excuse_failures(service)
        if state is PathState.CUT:
            self._cut_off.set()
        self._ctx.log.state_change(
            "server_path",
            service=service,
            state=state.value,
            cause=self._paths.cause(service),
            ended_attempts=ended,
        )
        self._runner.wake()

    def _record_response(self, view: ServerView, sent_s: float) -> None:
        self._ctx.evidence.record_response(
            view.entry.name, view.entry.started_ms, sent_s=sent_s
        )

    def _apply_evidence(self, update: EvidenceUpdate) -> EvidenceMessage:
        exchange = self._ctx.evidence_exchange
        exchange.apply(update.node, update.evidence)
        return exchange.message_to(update.node)

    def _apply_weight_load(self, update: WeightLoadUpdate) -> None:
        view = self._directory.get(update.server)
        if view is not None:
            view.record_version_load(
                update.model, update.version, update.ready_s
            )

    async def _hand_over_unreached_jobs(self) -> None:
        """Hands jobs over while this VM is cut off from their servers."""
        while True:
            await self._cut_off.wait()
            while self._paths.is_any_cut():
                await self._jobs.hand_over_unreached()
                await asyncio.sleep(_HAND_OVER_INTERVAL_S)
            self._cut_off.clear()

    async def _expire_jobs(self) -> None:
        """Removes jobs whose retention time has passed."""
        retention_s = _JOB_RETENTION_FACTOR * self._ctx.settings.timing.status_s
        while True:
            await asyncio.sleep(_JOB_EXPIRY_INTERVAL_S)
            await self._runner.remove_expired(retention_s=retention_s)
