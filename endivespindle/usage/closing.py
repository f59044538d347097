"""Decides when usage windows are closed, corrected and reported."""

import datetime
import random
from typing import TypeAlias

import msgspec

from endivespindle.core.clock import Clock
from endivespindle.exceptions import PlatformError
from endivespindle.schema.generated.stored import (
    AccountClosing,
    UsageClosing,
    UsagePart,
    UsageReport,
    WindowFreeze,
)
from endivespindle.usage.freezing import freeze_window, part_window
from endivespindle.usage.windows import window_bounds, window_number

__all__ = [
    "CORRECTION_WINDOWS",
    "Action",
    "CreateFreeze",
    "DeleteParts",
    "ListParts",
    "ReadFreeze",
    "ReadState",
    "SaveState",
    "SendReport",
    "Wait",
    "WindowCloser",
    "merge_closing",
]

CORRECTION_WINDOWS = 4

_IDLE_WAIT_S = 0.2
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 30.0
_MAX_CACHED_FREEZES = 32
_MAX_UNSAVED_CHANGES = 16


class ReadState(msgspec.Struct, frozen=True):
    """Read the closing state; report it with `on_state_read`."""


class ListParts(msgspec.Struct, frozen=True):
    """List the flushed parts; report them with `on_parts_listed`."""


class ReadFreeze(msgspec.Struct, frozen=True, kw_only=True):
    """Read a window's freeze; report it with `on_freeze_read`."""

    window: int


class CreateFreeze(msgspec.Struct, frozen=True, kw_only=True):
    """Create a window's freeze if there is none.

    Report the outcome with `on_freeze_create_result`.
    """

    freeze: WindowFreeze


class SaveState(msgspec.Struct, frozen=True, kw_only=True):
    """Merge into the closing state; report it with `on_state_saved`."""

    state: UsageClosing


class DeleteParts(msgspec.Struct, frozen=True, kw_only=True):
    """Delete parts of windows that can no longer be corrected.

    Report the deletion with `on_parts_deleted`.
    """

    names: list[str]


class SendReport(msgspec.Struct, frozen=True, kw_only=True):
    """Send a frozen report.

    Report the outcome with `on_report_accepted` or `on_report_unconfirmed`.
    """

    report: UsageReport


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Wait; no other action is due."""

    seconds: float


Action: TypeAlias = (
    ReadState
    | ListParts
    | ReadFreeze
    | CreateFreeze
    | SaveState
    | DeleteParts
    | SendReport
    | Wait
)


def merge_closing(stored: UsageClosing, other: UsageClosing) -> UsageClosing:
    """Merges two closing states; the result does not depend on the order.

    The state after a window is a function of the freezes up to it, so the
    state that closed more windows wins. The last sent window of each account
    only increases, so the higher one wins.
    """
    ahead, behind = stored, other
    if other.closed_window > stored.closed_window:
        ahead, behind = other, stored
    sent = {acc.client_account: acc.sent_window for acc in behind.accounts}
    return msgspec.structs.replace(
        ahead,
        accounts=[
            msgspec.structs.replace(
                acc,
                sent_window=max(
                    acc.sent_window, sent.get(acc.client_account, -1)
                ),
            )
            for acc in ahead.accounts
        ],
        token=stored.token,
    )


class WindowCloser:
    """Chooses the next action of the usage lease holder.

    Every window gets a freeze, even an empty one, in strict order. A freeze
    is created only once and is a function of the earlier freezes and of the
    parts listed, so a freeze by a holder that was paused and lost its lease
    is harmless. Only sending requires the lease. The reports of each account
    are sent in order; a report that is not accepted does not block other
    accounts.

    Args:
        clock: Clock of this VM.
        rng: Random source of the backoff jitter.
        window_s: Seconds in a window.
        grace_s: Seconds from the end of a window until it is closed.
        epoch: Epoch of the lease held.
    """

    __slots__ = (
        "_backoff_s",
        "_clock",
        "_create_outcome_unknown",
        "_epoch",
        "_platform_failures",
        "_freezes",
        "_grace_s",
        "_not_before_s",
        "_parts",
        "_rng",
        "_stale_part_names",
        "_state",
        "_is_state_loaded",
        "_unsaved_changes",
        "_window_s",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        window_s: float,
        grace_s: float,
        epoch: int,
    ):
        self._clock = clock
        self._rng = rng
        self._window_s = window_s
        self._grace_s = grace_s
        self._epoch = epoch
        self._state: UsageClosing | None = None
        self._is_state_loaded = False
        self._freezes: dict[int, WindowFreeze] = {}
        self._parts: dict[str, UsagePart] | None = None
        self._create_outcome_unknown = False
        self._unsaved_changes = 0
        self._stale_part_names: list[str] = []
        self._platform_failures = 0
        self._backoff_s: dict[str, float] = {}
        self._not_before_s: dict[str, float] = {}

    def next_action(self, *, may_send: bool, token: str) -> Action:
        """Returns the next action.

        Args:
            may_send: Whether the lease allows sending now.
            token: Unique token for a write.
        """
        if not self._is_state_loaded:
            return ReadState()
        if self._state is None:
            return self._init_state()
        action = self._next_close_action(self._state, token)
        if action is None and self._unsaved_changes >= _MAX_UNSAVED_CHANGES:
            action = SaveState(state=self._state)
        if action is None and may_send:
            action = self._next_send_action(self._state)
        if action is None and self._unsaved_changes:
            action = SaveState(state=self._state)
        if action is None and self._stale_part_names:
            action = DeleteParts(names=self._stale_part_names)
        return action or Wait(seconds=_IDLE_WAIT_S)

    def on_state_read(self, state: UsageClosing | None) -> None:
        """Sets the closing state as read."""
        self._is_state_loaded = True
        self._state = state

    def on_parts_listed(self, parts: dict[str, UsagePart]) -> None:
        """Sets the parts as just listed."""
        self._platform_failures = 0
        self._parts = parts

    def on_freeze_read(self, window: int, freeze: WindowFreeze | None) -> None:
        """Applies a freeze as stored.

        Raises:
            PlatformError: The freeze of a closed window is missing.
        """
        if freeze is None and self._is_closed(window):
            raise PlatformError(f"the freeze of window {window} is missing")
        self._platform_failures = 0
        self._create_outcome_unknown = False
        if freeze is None:
            self._parts = None
            return
        self._cache_freeze(freeze)
        if self._state and window == self._state.closed_window + 1:
            self._close_window(freeze)

    def on_freeze_create_result(
        self, freeze: WindowFreeze, *, created: bool
    ) -> None:
        """Applies the outcome of creating a freeze.

        Args:
            freeze: The freeze to be created.
            created: Whether the creation took effect; False if unknown.
        """
        self._platform_failures = 0
        if created:
            self._cache_freeze(freeze)
            self._close_window(freeze)
        else:
            self._create_outcome_unknown = True

    def on_state_saved(self, state: UsageClosing) -> None:
        """Applies the stored closing state after a merge."""
        self._platform_failures = 0
        self._unsaved_changes = 0
        if self._state is None or state.closed_window >= (
            self._state.closed_window
        ):
            self._state = state

    def on_parts_deleted(self) -> None:
        """Clears the list of parts to delete."""
        self._stale_part_names = []

    def on_report_accepted(self, report: UsageReport) -> None:
        """Records that the usage interface accepted a report."""
        account = report.client_account
        self._backoff_s.pop(account, None)
        self._not_before_s.pop(account, None)
        self._set_sent(account, report.window)

    def on_report_unconfirmed(self, report: UsageReport) -> None:
        """Schedules a retry of a report that is not known to be accepted."""
        account = report.client_account
        wait_s = self._backoff_s.get(account, _INITIAL_BACKOFF_S)
        self._backoff_s[account] = min(2 * wait_s, _MAX_BACKOFF_S)
        self._not_before_s[account] = (
            self._clock.monotonic() + wait_s * self._rng.uniform(0.75, 1.25)
        )

    def on_platform_error(self) -> float:
        """Counts a failed platform call and returns the backoff in seconds."""
        self._platform_failures += 1
        self._is_state_loaded = (
            self._is_state_loaded and self._state is not None
        )
        wait_s = min(
            _INITIAL_BACKOFF_S * 2**self._platform_failures, _MAX_BACKOFF_S
        )
        return wait_s * self._rng.uniform(0.5, 1.0)

    def _is_closed(self, window: int) -> bool:
        return self._state is not None and window <= self._state.closed_window

    def _init_state(self) -> Action:
        if self._parts is None:
            return ListParts()
        windows = [part_window(name) for name in self._parts]
        if not windows:
            self._parts = None
            return Wait(seconds=_IDLE_WAIT_S)
        newest = window_number(self._clock.now(), self._window_s)
        first = max(min(windows), newest - CORRECTION_WINDOWS)
        self._parts = None
        return SaveState(
            state=UsageClosing(
                first_window=first,
                closed_window=first - 1,
                accounts=[],
                token="",
            )
        )

    def _next_close_action(
        self, state: UsageClosing, token: str
    ) -> Action | None:
        window = state.closed_window + 1
        if not self._is_due(window):
            return None
        if self._create_outcome_unknown:
            return ReadFreeze(window=window)
        oldest = max(state.first_window, window - CORRECTION_WINDOWS)
        for earlier in range(oldest, window):
            if earlier not in self._freezes:
                return ReadFreeze(window=earlier)
        if self._parts is None:
            return ListParts()
        return CreateFreeze(
            freeze=freeze_window(
                window=window,
                window_s=self._window_s,
                epoch=self._epoch,
                parts=self._parts,
                earlier=[self._freezes[w] for w in range(oldest, window)],
                chains={a.client_account: a.chain for a in state.accounts},
                oldest_window=window - CORRECTION_WINDOWS,
                token=token,
            )
        )

    def _is_due(self, window: int) -> bool:
        _, end = window_bounds(window, self._window_s)
        grace = datetime.timedelta(seconds=self._grace_s)
        return self._clock.now() >= end + grace

    def _next_send_action(self, state: UsageClosing) -> Action | None:
        now_s = self._clock.monotonic()
        for account in state.accounts:
            name = account.client_account
            if self._not_before_s.get(name, 0.0) > now_s:
                continue
            action = self._next_account_action(state, account)
            if action is not None:
                return action
        return None

    def _next_account_action(
        self, state: UsageClosing, account: AccountClosing
    ) -> Action | None:
        for window in range(account.sent_window + 1, state.closed_window + 1):
            freeze = self._freezes.get(window)
            if freeze is None:
                return ReadFreeze(window=window)
            for report in freeze.reports:
                if report.client_account == account.client_account:
                    return SendReport(report=report)
            self._set_sent(account.client_account, window)
        return None

    def _set_sent(self, name: str, window: int) -> None:
        assert self._state is not None
        self._unsaved_changes += 1
        self._state = msgspec.structs.replace(
            self._state,
            accounts=[
                msgspec.structs.replace(acc, sent_window=window)
                if acc.client_account == name and acc.sent_window < window
                else acc
                for acc in self._state.accounts
            ],
        )

    def _cache_freeze(self, freeze: WindowFreeze) -> None:
        self._freezes[freeze.window] = freeze
        while len(self._freezes) > _MAX_CACHED_FREEZES:
            self._freezes.pop(min(self._freezes))

    def _close_window(self, freeze: WindowFreeze) -> None:
        """Closes the next window with its stored freeze."""
        assert self._state is not None
        known = {acc.client_account: acc for acc in self._state.accounts}
        for report in freeze.reports:
            old = known.get(report.client_account)
            known[report.client_account] = AccountClosing(
                client_account=report.client_account,
                chain=report.chain,
                sent_window=old.sent_window if old else freeze.window - 1,
            )
        self._state = msgspec.structs.replace(
            self._state,
            closed_window=freeze.window,
            accounts=sorted(known.values(), key=lambda a: a.client_account),
        )
        self._unsaved_changes = _MAX_UNSAVED_CHANGES
        self._create_outcome_unknown = False
        oldest = freeze.window + 1 - CORRECTION_WINDOWS
        self._stale_part_names = [
            name for name in self._parts or {} if part_window(name) < oldest
        ]
        self._parts = None
