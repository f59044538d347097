"""Which software began a stream, by what is recorded and what is known."""

import pytest

from endivespindle.serving.software_history import (
    ServiceSoftware,
    SoftwareHistory,
    observe_software,
    sole_software,
)
from endivespindle.serving.stream_origins import STREAM_MEMORY_S

NOW_S = 1_000_000.0


def _recorded(left, *, since_s=0.0):
    return ServiceSoftware(complete_since_unix_s=since_s, left_unix_s=left)


@pytest.mark.parametrize(
    ("recorded", "known", "expected"),
    [
        # Nothing recorded is not the same as one version.
        (None, {"v1"}, None),
        (_recorded({"v1": None}), {"v1"}, "v1"),
        (_recorded({"v1": None}), {"v2"}, None),
        (_recorded({"v1": None, "v2": None}), {"v1"}, None),
        (_recorded({"v1": NOW_S - 1.0, "v2": None}), {"v2"}, None),
        (_recorded({"v1": NOW_S - 2 * STREAM_MEMORY_S}), {"v2"}, "v2"),
        # The record began after streams that may be taken up.
        (_recorded({"v1": None}, since_s=NOW_S - 1.0), {"v1"}, None),
        (_recorded({}), set(), None),
    ],
)
def test_a_version_is_proved_only_by_a_complete_record(
    recorded, known, expected
):
    found = sole_software(recorded, known=known, now_unix_s=NOW_S)
    assert found == expected


def _observe(history, present, *, absent=None, now_s=NOW_S, first=False):
    return observe_software(
        history,
        present={"s": present},
        absent={"s": absent or []},
        now_unix_s=now_s,
        is_first_start=first,
    )


def test_the_record_of_a_first_start_is_complete_from_the_beginning():
    for first, since_s in ((True, 0.0), (False, NOW_S)):
        history = _observe(SoftwareHistory(), {"v1"}, first=first)
        assert history.services["s"].complete_since_unix_s == since_s


def test_nothing_is_written_unless_a_version_comes_or_leaves():
    history = _observe(SoftwareHistory(), {"v1"})
    assert _observe(history, {"v1"}, now_s=NOW_S + 1) is history
    # A version whose servers are missing for a moment has not left.
    assert _observe(history, set(), now_s=NOW_S + 2) is history
    left = _observe(history, set(), absent=["v1"], now_s=NOW_S + 3)
    assert left.services["s"].left_unix_s == {"v1": NOW_S + 3}
    again = _observe(left, set(), absent=["v1"], now_s=NOW_S + 9)
    assert again is left
    back = _observe(left, {"v1"}, now_s=NOW_S + 10)
    assert back.services["s"].left_unix_s == {"v1": None}


def test_a_version_that_left_long_ago_is_forgotten():
    history = _observe(SoftwareHistory(), {"v1", "v2"})
    history = _observe(history, {"v2"}, absent=["v1"])
    later_s = NOW_S + STREAM_MEMORY_S + 1
    history = _observe(history, {"v2", "v3"}, now_s=later_s)
    assert set(history.services["s"].left_unix_s) == {"v2", "v3"}
