"""Evidence of crashes: what counts, what voids it, and its exchange."""

import datetime
import sys

import pytest

from endivespindle.core.clock import Clock
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.crash_evidence import CrashEvidence
from endivespindle.serving.crash_policy import attempt_rule, count_crashes
from endivespindle.serving.evidence_exchange import EvidenceExchange
from endivespindle.serving.request_digest import request_digest


class _Clock(Clock):
    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s

    def now(self):
        return datetime.datetime.fromtimestamp(self.now_s, datetime.UTC)


def _lose(evidence, clock, servers, digest="r"):
    for name in servers:
        evidence.record_loss(digest, server=name, started_ms=1)
        clock.now_s += 0.2


def _evidence():
    clock = _Clock()
    return CrashEvidence(clock=clock), clock


def _call(**changes):
    fields = {
        "request_id": "r1",
        "method": "POST",
        "target": "/a?b=1",
        "host": "h",
        "headers": (),
        "body": b"x",
        "client_account": "acme",
    }
    return ServerCall(**(fields | changes))


@pytest.mark.parametrize(
    ("crashes", "quarantine_s"), [(3, 300.0), (4, 600.0), (5, 1200.0)]
)
def test_each_further_crash_doubles_the_quarantine(crashes, quarantine_s):
    assert attempt_rule(crashes).is_quarantined
    assert attempt_rule(crashes).pause_s == quarantine_s


def test_the_quarantine_is_at_most_a_day():
    assert attempt_rule(1000).pause_s == 86_400.0


def test_crashes_at_one_moment_count_as_one():
    assert count_crashes([]) == 0
    assert count_crashes([1.0, 1.04]) == 1
    assert count_crashes([1.0, 1.06]) == 2


def test_the_same_incarnation_is_lost_once():
    evidence, clock = _evidence()
    _lose(evidence, clock, ["s0", "s0", "s0"])
    assert evidence.crashes("r") == 1


def test_a_completion_voids_the_losses_before_it():
    evidence, clock = _evidence()
    _lose(evidence, clock, ["s0", "s1", "s2"])
    evidence.record_completion("r")
    assert evidence.crashes("r") == 0
    clock.now_s += 1.0
    _lose(evidence, clock, ["s3"])
    assert evidence.crashes("r") == 1


def test_a_late_response_does_not_prove_that_a_server_survived():
    """It may come from a new incarnation whose entry is not known yet."""
    evidence, clock = _evidence()
    _lose(evidence, clock, ["s0", "s1"])
    clock.now_s += 3.0
    evidence.record_response("s0", 1, sent_s=clock.now_s)
    assert evidence.crashes("r") == 2


def test_losses_at_servers_that_did_not_run_it_excuse_a_request():
    evidence, clock = _evidence()
    for names in (("s0", "s1"), ("s2", "s3"), ("s4", "s5")):
        evidence.record_loss("r", server=names[0], started_ms=1)
        evidence.record_loss("other", server=names[1], started_ms=1)
        clock.now_s += 1.0
    assert evidence.crashes("r") == 0


def test_lost_connections_to_servers_that_respond_do_not_excuse_a_request():
    """Pattern: servers break off responses all the time, and go on."""
    evidence, clock = _evidence()
    for names in (("s0", "s1"), ("s2", "s3"), ("s4", "s5")):
        evidence.record_loss("r", server=names[0], started_ms=1)
        evidence.record_loss("other", server=names[1], started_ms=1)
        clock.now_s += 0.2
        evidence.record_response(names[1], 1, sent_s=clock.now_s)
        clock.now_s += 0.8
    assert evidence.crashes("r") == 3


def test_a_quarantine_is_reported_once_when_another_server_responds_again():
    clock = _Clock()
    reports = []
    evidence = CrashEvidence(
        clock=clock, on_quarantine=lambda *report: reports.append(report)
    )
    _lose(evidence, clock, ["s0", "s1"])
    evidence.record_loss("other", server="s3", started_ms=1)
    evidence.record_loss("r", server="s2", started_ms=1)
    assert not reports
    clock.now_s += 0.2
    for _ in range(2):
        evidence.record_response("s3", 1, sent_s=clock.now_s)
    assert reports == [("r", 3)]


def _calls_to_list_quarantines(suspects):
    """Returns the function calls that it takes to list the quarantines."""
    evidence, clock = _evidence()
    for number in range(suspects):
        names = [f"s{(number + offset) % 30}" for offset in range(2)]
        _lose(evidence, clock, names, digest=f"d{number}")
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        del frame, arg
        calls += event == "call"

    before = sys.getprofile()
    sys.setprofile(count)
    try:
        evidence.quarantined()
    finally:
        sys.setprofile(before)
    return calls


def test_the_cost_of_listing_quarantines_grows_linearly_with_the_suspects():
    """Controllers list them twice a second."""
    few, many = (_calls_to_list_quarantines(count) for count in (100, 400))
    assert many <= 5 * few


def test_records_expire_and_those_of_quarantines_last_longer():
    evidence, clock = _evidence()
    _lose(evidence, clock, ["s0"], digest="suspect")
    _lose(evidence, clock, ["s0", "s1", "s2"], digest="bad")
    clock.now_s += 1000.0
    _lose(evidence, clock, ["s9"], digest="new")
    assert evidence.crashes("suspect") == 0
    assert evidence.crashes("bad") == 3


def test_repeats_have_one_digest_and_other_requests_another():
    same = request_digest(_call(request_id="r2", headers=(("A", "b"),)))
    assert request_digest(_call()) == same
    for changes in (
        {"target": "/a?b=2"},
        {"body": b"y"},
        {"client_account": "other"},
        {"host": "h2"},
        {"method": "PUT"},
    ):
        assert request_digest(_call(**changes)) != same


def _exchange(one, two):
    two[1].apply("one", one[1].message_to("two"))
    one[1].apply("two", two[1].message_to("one"))


def _vm(clock, epoch):
    evidence = CrashEvidence(clock=clock)
    return evidence, EvidenceExchange(evidence=evidence, epoch=epoch)


def test_each_record_is_sent_once_and_again_after_a_restart():
    clock = _Clock()
    one, two = _vm(clock, "1"), _vm(clock, "2")
    _lose(one[0], clock, ["s0", "s1"])
    _exchange(one, two)
    assert two[0].crashes("r") == 2
    _exchange(one, two)
    assert not one[1].message_to("two").records
    two = _vm(clock, "2-restarted")
    _exchange(one, two)
    _exchange(one, two)
    assert two[0].crashes("r") == 2


def test_many_records_are_sent_in_parts():
    clock = _Clock()
    one, two = _vm(clock, "1"), _vm(clock, "2")
    for number in range(450):
        one[0].record_loss(f"d{number}", server="s0", started_ms=1)
    sizes = []
    for _ in range(4):
        sizes.append(len(one[1].message_to("two").records))
        _exchange(one, two)
    assert sizes == [200, 200, 50, 0]
    assert len(two[0]) == 450


def test_a_lost_message_is_sent_again():
    clock = _Clock()
    one, two = _vm(clock, "1"), _vm(clock, "2")
    _exchange(one, two)
    _lose(one[0], clock, ["s0"])
    one[1].message_to("two")
    _exchange(one, two)
    assert two[0].crashes("r") == 1
