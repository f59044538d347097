"""The role that faces callers."""

import asyncio
import contextlib

from aiohttp import web

from endivespindle.exceptions import PeerError
from endivespindle.peers.tasks import end_tasks
from endivespindle.platform.servers import PlatformServers
from endivespindle.runtime.context import NodeParts
from endivespindle.runtime.fleet_view import NodeRecord
from endivespindle.runtime.forwarding import Forwarder
from endivespindle.runtime.ingress import Ingress
from endivespindle.runtime.job_runner import JobRunner
from endivespindle.runtime.job_service import JobService
from endivespindle.runtime.job_store import JobStore
from endivespindle.runtime.peer_calls import LoadNews, NodeNews, PeerCalls
from endivespindle.runtime.peer_server import PeerServer
from endivespindle.runtime.relay import RELAY_WAIT_S, RelayedStore
from endivespindle.runtime.sessions import (
    open_once_session,
    open_server_session,
)
from endivespindle.runtime.settings import Endpoint, NodeRole
from endivespindle.runtime.shared_watchers import (
    make_config_watcher,
    make_node_watcher,
    make_server_watcher,
)
from endivespindle.runtime.streaming import StreamRelay
from endivespindle.runtime.usage_counter import UsageCounter
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.in_force import ConfigInForce
from endivespindle.store.object_store import ObjectStore

__all__ = ["Gateway"]

# Requests with keys are refused once the configuration is unconfirmed for
# this share of the bound on revoked keys; the users' rules stop owing such
# requests at the same share.
_FRESH_SHARE = 0.6
# Share of that age for which one watch waits; the next one must be answered
# before the age is reached.
_WATCH_SHARE = 0.45
# A watch of servers is kept alive by probes of its connection, so that its
# wait only bounds how long a lost event of the store goes unnoticed.
_SERVERS_WAIT_S = 5.0
# Nodes come and go rarely, and the relay's own silence shows sooner elsewhere.
_NODES_WAIT_S = 10.0
# Time for which a node that starts waits to hear of its relay before it lists
# from the store itself; all nodes of a fleet may start at once.
_RELAY_KNOWN_S = 1.0
# Time between two tellings of counts to the controllers, if there are new
# ones, and in any case.
_NEWS_INTERVAL_S = 0.25
_NEWS_REST_S = 1.0
# A node tells of a model for this long after its last job of it: the next step
# is likely to run here, too.
_RECENT_JOBS_S = 20.0
# Jobs are kept for twice the time that is asked for, as clocks differ and
# readers may be late; they are looked through every few seconds.
_KEPT_FACTOR = 2.0
_EXPIRE_INTERVAL_S = 10.0
# Callers' connections idle for longer are closed; the configuration's own
# bound is as long in all deployments seen, and connections are not reopened
# for it.
_IDLE_TIMEOUT_S = 15.0
_MAX_HEADER_BYTES = 65_536
# After SIGTERM new connections arrive until the balancer has missed readiness
# twice, at one question a second.
_BALANCER_S = 2.6


class Gateway:
    """Serves callers until it is told to stop.

    Args:
        parts: What every part of the node shares.
        store: The object API.
        peer_server: Listens for calls of other nodes.
        peers: Calls other nodes.
    """

    __slots__ = (
        "_config",
        "_directory",
        "_ingress",
        "_jobs",
        "_parts",
        "_peers",
        "_ready_runner",
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
        parts: NodeParts,
        store: ObjectStore,
        peer_server: PeerServer,
        peers: PeerCalls,
    ):
        self._parts = parts
        self._store = store
        self._peers = peers
        self._tasks: list[asyncio.Task[None]] = []
        settings, clock = parts.settings, parts.clock
        self._config = ConfigInForce(
            clock=clock, max_unconfirmed_s=self._max_unconfirmed_s()
        )
        self._directory = ServerDirectory(clock=clock)
        self._usage = UsageCounter(
            clock=clock,
            window_s=settings.timing.usage_window_s,
            node=settings.name,
            incarnation=parts.fleet.me.incarnation,
        )
        self._sessions = [open_server_session(), open_once_session()]
        api = PlatformServers(
            session=self._sessions[0], single_use=self._sessions[1]
        )
        forwarder = Forwarder(
            api=api,
            directory=self._directory,
            clock=clock,
            rng=parts.rng,
            data_centre=settings.data_centre,
            log=parts.log,
            metrics=parts.metrics,
        )
        job_store = JobStore(
            store=store, ids=parts.ids, value_bytes=settings.limits.value_bytes
        )
        owner_id = parts.fleet.me.owner_id
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
        )
        self._jobs = JobService(
            runner=self._runner,
            store=job_store,
            fleet=parts.fleet,
            peers=peers,
            clock=clock,
            log=parts.log,
        )
        streams = StreamRelay(
            api=api,
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
            log=parts.log,
            metrics=parts.metrics,
        )
        peer_server.serve_jobs(
            answer=self._jobs.answer_as_owner,
            news=self._jobs.apply_owner_update,
            assign=self._jobs.accept_assignment,
            release=self._jobs.release,
        )
        peer_server.serve_loads(self._take_load)

    async def start(self) -> None:
        """Begins to follow the store and to listen."""
        parts = self._parts
        config_wait_s = self._max_unconfirmed_s() * _WATCH_SHARE
        relayed = self._relayed(wait_for_relay_s=_RELAY_KNOWN_S)
        nodes = make_node_watcher(
            parts, self._relayed(max_wait_s=_NODES_WAIT_S)
        )
        config = make_config_watcher(
            parts, relayed, self._config, wait_s=config_wait_s
        )
        servers = make_server_watcher(
            parts,
            relayed,
            self._directory,
            wait_s=_SERVERS_WAIT_S,
            on_change=self._runner.wake,
        )
        for coro in (
            config.run(),
            servers.run(),
            nodes.run(),
            self._runner.run(),
            self._tell_controllers(),
            self._expire_jobs(),
        ):
            self._tasks.append(asyncio.create_task(coro))
        settings = parts.settings
        if settings.callers is None or settings.readiness is None:
            raise ValueError("a gateway needs addresses to listen on")
        self._web_runner = await _listen(
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
        )
        self._ready_runner = await _listen(
            web.Server(self._answer_ready, access_log=None), settings.readiness
        )

    def _near_controller(self) -> NodeRecord | None:
        """Returns a controller of this data centre, if one is known."""
        here = self._parts.settings.data_centre
        nodes = self._parts.fleet.peers(NodeRole.CONTROLLER)
        return next((n for n in nodes if n.data_centre == here), None)

    def _relayed(
        self, *, max_wait_s: float = RELAY_WAIT_S, wait_for_relay_s: float = 0.0
    ) -> RelayedStore:
        """Returns the store as watched through this data centre's relay."""
        return RelayedStore(
            store=self._store,
            peers=self._peers,
            relay=self._near_controller,
            clock=self._parts.clock,
            on_shunned=lambda name, error: self._parts.log.decided(
                "relay_shunned", relay=name, error=error
            ),
            max_wait_s=max_wait_s,
            wait_for_relay_s=wait_for_relay_s,
        )

    async def stop(self) -> None:
        """Drains: nothing new, hand over jobs, finish what was read."""
        self._ingress.closing = True
        self._jobs.draining = True
        clock = self._parts.clock
        begun_s = clock.monotonic()
        await self._jobs.hand_over_all()
        grace_s = self._parts.settings.timing.grace_s
        while clock.monotonic() < begun_s + grace_s - 1.0:
            quiet = clock.monotonic() >= begun_s + _BALANCER_S
            if quiet and not self._ingress.active:
                break
            await asyncio.sleep(0.05)
        await self._tell_now()
        await self._web_runner.cleanup()
        await self._ready_runner.cleanup()
        await end_tasks(self._tasks)
        for session in self._sessions:
            await session.close()

    def _max_unconfirmed_s(self) -> float:
        timing = self._parts.settings.timing
        return timing.revoke_s * _FRESH_SHARE

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        del request
        ready = (
            not self._ingress.closing
            and self._config.version > 0
            and self._config.is_fresh()
            and len(self._directory) > 0
        )
        return web.Response(status=200 if ready else 503)

    def _take_load(self, news: LoadNews) -> None:
        view = self._directory.get(news.server)
        if view is not None:
            view.expect_version(news.model, news.version, news.ready_s)

    async def _tell_controllers(self) -> None:
        """Tells the controllers what was counted, when there is news."""
        told: NodeNews | None = None
        told_s = 0.0
        while True:
            await asyncio.sleep(_NEWS_INTERVAL_S)
            news = self._news()
            now_s = self._parts.clock.monotonic()
            same = (
                told is not None
                and told.counts.windows == news.counts.windows
                and told.required == news.required
                and told.wanted == news.wanted
            )
            if same and now_s - told_s < _NEWS_REST_S:
                continue
            told, told_s = news, now_s
            await self._tell_now()

    async def _expire_jobs(self) -> None:
        """Removes jobs once their results need not be kept any longer."""
        kept_s = _KEPT_FACTOR * self._parts.settings.timing.status_s
        while True:
            await asyncio.sleep(_EXPIRE_INTERVAL_S)
            await self._runner.remove_expired(retention_s=kept_s)

    def _news(self) -> NodeNews:
        required: dict[str, int] = {}
        since_ms = (self._parts.clock.now().timestamp() - _RECENT_JOBS_S) * 1000
        for job in self._runner.jobs.values():
            sub = job.state.submission
            recent = job.is_open or sub.submitted_ms >= since_ms
            if recent and sub.model:
                known = required.get(sub.model, 0)
                required[sub.model] = max(known, sub.min_version)
        return NodeNews(
            counts=self._usage.news(),
            required=required,
            wanted=self._runner.slot_demand(),
        )

    async def _tell_now(self) -> None:
        news = self._news()
        nodes = self._parts.fleet.peers(NodeRole.CONTROLLER)
        await asyncio.gather(*(self._tell(node, news) for node in nodes))

    async def _tell(self, node: NodeRecord, news: NodeNews) -> None:
        with contextlib.suppress(PeerError):
            # News are absolute; the next ones make up for these.
            await self._peers.post(node, "/node/news", news)


async def _listen(server: web.Server, at: Endpoint) -> web.ServerRunner:
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, at.host, at.port, backlog=512)
    await site.start()
    return runner
