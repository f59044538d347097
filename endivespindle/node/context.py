"""What the parts of one VM share."""

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
from endivespindle.node.stories import Stories
from endivespindle.register.active_revision import ActiveRevision
from endivespindle.register.view import RegisterView
from endivespindle.routing.tracker import ServerTracker
from endivespindle.schema.generated.peer import Heartbeat, MemberUpdate
from endivespindle.schema.generated.settings import Settings
from endivespindle.usage.billing import UsageOutcome
from endivespindle.usage.ledger import UsageLedger
from endivespindle.usage.receipts import ReceiptRecorder
from endivespindle.usage.windows import window_number

__all__ = ["NodeContext"]


class NodeContext:
    """Shared state of one VM, passed to each of its parts.

    Args:
        settings: Checked settings.
        clock: Clock of this VM.
        ids: Source of identities.
        rng: Source of randomness.
    """

    __slots__ = (
        "clock",
        "demand",
        "drain",
        "draining",
        "gossip",
        "ids",
        "incarnation",
        "keys",
        "ledger",
        "log",
        "membership",
        "metrics",
        "news",
        "receipts",
        "register",
        "rng",
        "settings",
        "shares",
        "stories",
        "tracker",
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
            me=MemberUpdate(
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
        self.news = asyncio.Event()
        self.shares: AccountShares[asyncio.Future[None]] = AccountShares(
            clock=clock,
            rng=rng,
            max_waiting=settings.limits.max_queue_requests,
        )
        self.tracker = ServerTracker(clock=clock)
        self.metrics = Metrics()
        self.ledger = UsageLedger()
        self.demand = DemandMeter()
        self.receipts: ReceiptRecorder | None = None
        if settings.data.folder:
            self.receipts = ReceiptRecorder(
                vm=f"{settings.vm.name}.{self.incarnation}"
            )
        self.stories = Stories(vm=settings.vm.name, clock=clock)
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
        """Returns the register revision in force.

        Raises:
            RefusedError: There is none yet.
        """
        if self.register.view is None:
            raise RefusedError(Reason.NOT_READY, retry_after_s=1.0)
        return self.register.view

    def ready(self) -> bool:
        """Tells whether this VM takes requests."""
        return self.register.view is not None and self.drain.ready()

    def _data_centres(self) -> list[str]:
        view = self.register.view
        if view is None:
            return []
        return [centre.name for centre in view.register.data_centres]

    def bill(
        self,
        *,
        request_id: str,
        client_account: str,
        service: str,
        outcome: UsageOutcome,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Counts a request's or sample's usage, and keeps its receipt."""
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
        """Returns the usage window of this moment."""
        window_s = self.view().register.rules.usage_window_s
        return window_number(self.clock.now(), window_s)

    def take_load(self, beat: Heartbeat) -> None:
        """Takes in the load that a peer tells of in a fresh heartbeat."""
        self.shares.take_peer(beat)
        self.tracker.take_peer_loads(beat.vm, beat.loads)

    def tell(self, story_id: str, event: str, **inputs: Any) -> None:
        """Logs a decision and keeps it for `explain`."""
        self.stories.tell(story_id, event, **inputs)
        self.log.info(event, id=story_id, **inputs)
