"""Losses around a moment."""

from hypothesis import given
from hypothesis import strategies as st

from endivespindle.serving.loss_times import LossTimes, TimedLoss

_TIMES_S = st.integers(0, 40).map(lambda ticks: ticks / 8)


def _losses(times_s):
    return [
        TimedLoss(lost_s=time_s, server=f"s{number}", started_ms=1, digest="r")
        for number, time_s in enumerate(times_s)
    ]


@given(st.lists(_TIMES_S), st.sets(st.integers(0, 20)), _TIMES_S, _TIMES_S)
def test_it_finds_what_a_scan_of_all_losses_finds(
    times_s, discarded, time_s, tolerance_s
):
    known = LossTimes()
    losses = _losses(times_s)
    for loss in losses:
        known.add(loss)
    for number in discarded:
        for loss in losses[number : number + 1]:
            known.discard(loss)
            known.discard(loss)
    expected = [
        loss
        for number, loss in enumerate(losses)
        if number not in discarded and abs(loss.lost_s - time_s) <= tolerance_s
    ]
    found = list(known.around(time_s, tolerance_s=tolerance_s))
    assert found == sorted(expected)
    assert len(known) == len(losses) - sum(
        number < len(losses) for number in discarded
    )
