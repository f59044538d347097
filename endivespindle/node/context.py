"""State that the components of one VM share."""

import asyncio
import random
from typing import Any

import structlog

from endivespindle.accounts.freshness import KeyFreshness
from endivespindle.accounts.keys import KeyTable
from endivespindle.accounts.shares import AccountShares
from endivespindle.capacity.demand import DemandMeter
from endivespindle.core.clock import Clock
from endivespindle.core.ids import IdSource
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.membership.gossip import Gossip
from endivespindle.membership.view import MembershipView
from endivespindle.node.drain import Drain
from endivespindle.node.metrics import Metrics
from endivespindle.node.traces import TraceStore
from endivespindle.register.active_revision import ActiveRevision
from endivespindle.register.view import RegisterView
from endivespindle.routing.leaving import LeavingServers
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.peer import Heartbeat, MemberUpdate
from endivespindle.schema.generated.register import BackendServer
from endivespindle.schema.generated.settings import Settings
from endivespindle.usage.billing import UsageOutcome
from endivespindle.usage.ledger import UsageLedger
from endivespindle.usage.receipts import ReceiptRecorder
from endivespindle.usage.windows import window_number

__all__ = ["NodeContext"]


class NodeContext:
    """Shared state of one VM, passed to each of its components.

    Args:
        settings: Validated settings.
        clock: Clock of this VM.
        ids: Generator of unique ids.
        rng: Random number generator.

    Attributes:
        update_pending: Set when an update is to be sent to peers at once.
        draining: Set once the VM has begun to shut down.
        receipts: Receipts to be written; None without a data folder.
    """

    __slots__ = (
        "_servers_revision",
        "clock",
        "demand",
        "drain",
        "draining",
        "gossip",
        "ids",
        "incarnation",
        "keys",
        "leaving",
        "ledger",
        "log",
        "membership",
        "metrics",
        "receipts",
        "register",
        "rng",
        "settings",
        "shares",
        "stories",
        "tracker",
        "update_pending",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        ids: IdSource,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.ids = ids
        self.rng = rng
        self.incarnation = ids.new("vm")
        self.register = ActiveRevision()
        self.keys = KeyTable(
            hash_secret=settings.keys.hash_secret,
            freshness=KeyFreshness(
                clock=clock,
                data_centre=settings.vm.data_centre,
                data_centres=self._data_centres,
            ),
        )
        self.membership = MembershipView(
            vm=settings.vm.name,
            data_centre=settings.vm.data_centre,
            clock=clock,
            suspect_after_s=settings.peers.suspect_after_s,
            dead_after_s=settings.peers.dead_after_s,
        )
        self.gossip = Gossip(
            local_member=MemberUpdate(
                vm=settings.vm.name,
                data_centre=settings.vm.data_centre,
                host=settings.vm.host,
                http_port=settings.listen.port,
                peer_port=settings.listen.peer_port,
                incarnation=self.incarnation,
                life=1,
            ),
            view=self.membership,
            rng=rng,
            interval_s=settings.peers.heartbeat_interval_s,
        )
        self.update_pending = asyncio.Event()
        self.shares: AccountShares[asyncio.Future[None]] = AccountShares(
            clock=clock,
            rng=rng,
            max_waiting=settings.limits.max_queue_requests,
        )
        self.tracker = ServerTracker(clock=clock)
        self.leaving = LeavingServers()
        self._servers_revision = -1
        self.metrics = Metrics()
        self.ledger = UsageLedger()
        self.demand = DemandMeter()
        self.receipts: ReceiptRecorder | None = None
        if settings.data.folder:
            self.receipts = ReceiptRecorder(
                vm=f"{settings.vm.name}.{self.incarnation}"
            )
        self.stories = TraceStore(vm=settings.vm.name, clock=clock)
        self.draining = asyncio.Event()
        self.drain = Drain(
            clock=clock,
            balancer_wait_s=settings.limits.drain_balancer_wait_s,
            timeout_s=settings.limits.drain_timeout_s,
        )
        self.log = structlog.get_logger("endivespindle").bind(
            vm=settings.vm.name, data_centre=settings.vm.data_centre
        )

    def view(self) -> RegisterView:
        """Returns the active revision of the register.

        Raises:
            RefusedError: There is none yet.
        """
        if self.register.view is None:
            raise RefusedError(Reason.NOT_READY, retry_after_s=1.0)
        return self.register.view

    def available_servers(self, service: str) -> list[BackendServer]:
        """Returns the backend servers of a service that accept new work.

        Raises:
            RefusedError: There is no active revision of the register yet.
        """
        view = self.view()
        if view.revision != self._servers_revision:
            self.leaving.apply_revision(view.servers.values())
            self._servers_revision = view.revision
        return self.leaving.available_servers(view.servers_of(service))

    def is_ready(self) -> bool:
        """Returns whether this VM should receive requests."""
        return self.register.view is not None and self.drain.is_ready()

    def _data_centres(self) -> list[str]:
        view = self.register.view
        if view is None:
            return []
        return [data_centre.name for data_centre in view.register.data_centres]

    def record_usage(
        self,
        *,
        request_id: str,
        client_account: str,
        service: str,
        outcome: UsageOutcome,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Counts the usage of a request or sample and stores its receipt."""
        window = self.current_window()
        self.ledger.add_request(
            window=window,
            client_account=client_account,
            service=service,
            outcome=outcome.value,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        if self.receipts is not None:
            self.receipts.add(
                window=window,
                client_account=client_account,
                service=service,
                request_id=request_id,
                outcome=outcome.value,
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
            )

    def current_window(self) -> int:
        """Returns the number of the current usage window."""
        window_s = self.view().register.rules.usage_window_s
        return window_number(self.clock.now(), window_s)

    def apply_peer_load(self, heartbeat: Heartbeat) -> None:
        """Applies the load that a peer reports in a new heartbeat."""
        self.shares.apply_heartbeat(heartbeat)
        self.tracker.apply_peer_loads(heartbeat.vm, heartbeat.loads)

    def record_event(self, trace_id: str, event: str, **inputs: Any) -> None:
        """Logs a decision and stores it in its trace for `explain`."""
        self.stories.record(trace_id, event, **inputs)
        self.log.info(event, id=trace_id, **inputs)
