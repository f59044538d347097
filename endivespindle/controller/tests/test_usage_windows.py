"""Usage windows: what is counted, and when it is final."""

from endivespindle.controller.usage_windows import (
    NodeUsageCounts,
    UsageAggregator,
)

LIVE = {("n1", "a"), ("n2", "a")}


def _book():
    book = UsageAggregator(window_s=5.0, late_s=10.0)
    book.start(100.0)
    return book


def _told(book, node, at_s, windows, incarnation="a"):
    book.record(
        NodeUsageCounts(
            node=node, incarnation=incarnation, told_s=at_s, windows=windows
        )
    )


def _due(book, now_s, window=20, live=LIVE):
    return {
        r.window: r.requests for r in book.due_reports(now_s, live=live)
    }.get(window)


def test_a_window_waits_for_every_node_that_runs():
    book = _book()
    _told(book, "n1", 108.0, {20: {"acme": 3}})
    assert _due(book, 108.1) is None
    _told(book, "n2", 108.0, {20: {"acme": 2, "bolt": 1}})
    assert _due(book, 108.1) == {"acme": 5, "bolt": 1}


def test_repeated_and_crossed_news_count_once():
    book = _book()
    _told(book, "n1", 108.0, {20: {"acme": 3}})
    _told(book, "n1", 104.0, {20: {"acme": 1}})
    _told(book, "n1", 108.0, {20: {"acme": 3}})
    _told(book, "n2", 108.0, {})
    assert _due(book, 108.1) == {"acme": 3}


def test_counts_of_a_process_that_is_gone_are_kept():
    book = _book()
    _told(book, "n1", 103.0, {20: {"acme": 3}}, incarnation="old")
    _told(book, "n1", 108.0, {20: {"acme": 1}})
    _told(book, "n2", 108.0, {})
    assert _due(book, 108.1) == {"acme": 4}


def test_a_silent_node_does_not_make_a_report_late():
    book = _book()
    _told(book, "n1", 112.5, {20: {"acme": 3}})
    assert _due(book, 111.9) is None
    assert _due(book, 112.1) == {"acme": 3}


def test_a_window_is_reported_once():
    book = _book()
    for node in ("n1", "n2"):
        _told(book, node, 108.0, {20: {"acme": 1}})
    assert _due(book, 108.1) == {"acme": 2}
    book.mark_reported(20)
    assert _due(book, 108.2) is None
