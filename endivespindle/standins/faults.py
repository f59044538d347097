"""Faults that a stand-in can be told to show."""

import dataclasses

__all__ = ["EngineFaults", "PlatformFaults"]


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """How the platform stand-in misbehaves.

    Attributes:
        down: Refuses every call.
        delay_s: Seconds by which every call is slowed.
        lose_answers: Number of coming writes that take effect while their
            answer is lost.
        cut_off: Data centres whose calls do not arrive.
        reports_down: Refuses usage reports only.
        orders_down: Refuses capacity orders only.
        ignore_fencing: Takes capacity orders with an old fencing number.
        list_lag_s: Seconds by which the list of VMs lags.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cut_off: set[str] = dataclasses.field(default_factory=set)
    reports_down: bool = False
    orders_down: bool = False
    ignore_fencing: bool = False
    list_lag_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineFaults:
    """How an engine stand-in misbehaves.

    Attributes:
        down: Accepts no connection.
        speed: Factor on its speed.
        load_lag_s: Seconds by which load reports lag.
        drop_cache_events: Every n-th cache event is lost; 0 loses none.
        ignore_fencing: Takes orders with an old fencing number.
        failed_swaps: Number of coming swaps that answer success and keep the
            old weights.
        omit_versions: Sends chunks without a weight version.
        cut_streams: Number of coming streams cut in the middle.
        crossed_answers: Number of coming answers that name another request.
        leaving: Announces its shutdown in its load reports.
    """

    down: bool = False
    speed: float = 1.0
    load_lag_s: float = 0.2
    drop_cache_events: int = 0
    ignore_fencing: bool = False
    failed_swaps: int = 0
    omit_versions: bool = False
    cut_streams: int = 0
    crossed_answers: int = 0
    leaving: bool = False
