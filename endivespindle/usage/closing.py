"""Closes usage windows in order, corrects them, and sends their reports."""

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
    """Read the closing state; answer with `on_state_read`."""


class ListParts(msgspec.Struct, frozen=True):
    """List the flushed parts; answer with `on_parts_listed`."""


class ReadFreeze(msgspec.Struct, frozen=True, kw_only=True):
    """Read a window's freeze; answer with `on_freeze_read`."""

    window: int


class CreateFreeze(msgspec.Struct, frozen=True, kw_only=True):
    """Create a window's freeze if there is none; `on_freeze_create_result`."""

    freeze: WindowFreeze


class SaveState(msgspec.Struct, frozen=True, kw_only=True):
    """Merge into the closing state; answer with `on_state_saved`."""

    state: UsageClosing


class DeleteParts(msgspec.Struct, frozen=True, kw_only=True):
    """Delete parts that no report can count any more; `on_parts_deleted`."""

    names: list[str]


class SendReport(msgspec.Struct, frozen=True, kw_only=True):
    """Send a frozen report; answer with `on_report_accepted` or `..._untaken`."""

    report: UsageReport


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing is due for some seconds."""

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


def merge_closing(held: UsageClosing, other: UsageClosing) -> UsageClosing:
    """Returns what both states know; the order does not matter.

    The state after a window is a function of the freezes up to it, so that
    the state that closed more wins; positions of sending only rise.
    """
    ahead, behind = held, other
    if other.closed_window > held.closed_window:
        ahead, behind = other, held
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
        token=held.token,
    )


class WindowCloser:
    """Decides what the holder of the usage lease does next.

    Every window gets a freeze, also an empty one, in strict order; a freeze
    is created once and is a function of the freezes before it and of the
    parts listed. So a holder that was paused can do no harm by freezing; the
    lease is needed to send. Each account's reports go out in order, and an
    account whose report is not taken holds up no other.

    Args:
        clock: Clock of this VM.
        rng: Source of jitter.
        window_s: Seconds in a window.
        grace_s: Seconds after its end at which a window is closed.
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
        """Returns what to do now.

        Args:
            may_send: Whether the lease allows a send at this moment.
            token: Token for a write, never used before.
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
        """Takes in the closing state."""
        self._is_state_loaded = True
        self._state = state

    def on_parts_listed(self, parts: dict[str, UsagePart]) -> None:
        """Takes in the parts as listed just now."""
        self._platform_failures = 0
        self._parts = parts

    def on_freeze_read(self, window: int, freeze: WindowFreeze | None) -> None:
        """Takes in a freeze as it stands in the store.

        Raises:
            PlatformError: The freeze of a closed window is gone.
        """
        if freeze is None and self._is_closed(window):
            raise PlatformError(f"the freeze of window {window} is gone")
        self._platform_failures = 0
        self._create_outcome_unknown = False
        if freeze is None:
            self._parts = None
            return
        self._cache_freeze(freeze)
        if self._state and window == self._state.closed_window + 1:
            self._close_window(freeze)

    def on_freeze_create_result(self, freeze: WindowFreeze, *, created: bool) -> None:
        """Takes in whether a creation took effect; if in doubt, it did not."""
        self._platform_failures = 0
        if created:
            self._cache_freeze(freeze)
            self._close_window(freeze)
        else:
            self._create_outcome_unknown = True

    def on_state_saved(self, state: UsageClosing) -> None:
        """Takes in the closing state in force after a merge."""
        self._platform_failures = 0
        self._unsaved_changes = 0
        if self._state is None or state.closed_window >= (
            self._state.closed_window
        ):
            self._state = state

    def on_parts_deleted(self) -> None:
        """Notes that old parts are gone."""
        self._stale_part_names = []

    def on_report_accepted(self, report: UsageReport) -> None:
        """Notes that the interface took a report."""
        account = report.client_account
        self._backoff_s.pop(account, None)
        self._not_before_s.pop(account, None)
        self._set_sent(account, report.window)

    def on_report_unconfirmed(self, report: UsageReport) -> None:
        """Notes that a report was not taken, as far as is known."""
        account = report.client_account
        wait_s = self._backoff_s.get(account, _INITIAL_BACKOFF_S)
        self._backoff_s[account] = min(2 * wait_s, _MAX_BACKOFF_S)
        self._not_before_s[account] = (
            self._clock.monotonic() + wait_s * self._rng.uniform(0.75, 1.25)
        )

    def on_platform_error(self) -> float:
        """Notes a failed platform call; returns the seconds to wait."""
        self._platform_failures += 1
        self._is_state_loaded = self._is_state_loaded and self._state is not None
        wait_s = min(_INITIAL_BACKOFF_S * 2**self._platform_failures, _MAX_BACKOFF_S)
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

    def _next_close_action(self, state: UsageClosing, token: str) -> Action | None:
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
        """Closes the next window with the freeze that stands."""
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
