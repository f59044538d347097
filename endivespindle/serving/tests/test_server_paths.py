"""A cut of this VM's path, told from servers that are down."""

import random

from endivespindle.core.clock import ManualClock
from endivespindle.serving.path_lenders import LenderChoice, LenderRefusal
from endivespindle.serving.server_paths import PathState, ServerPaths

SERVICE = "plain"


class _World:
    def __init__(self, *, servers=6, near=()):
        self.clock = ManualClock()
        self.changes = []
        self.paths = ServerPaths(
            clock=self.clock,
            count_servers=lambda service: servers,
            on_change=lambda service, state: self.changes.append(state),
            near_servers=lambda service: near,
        )

    def attempt(self, server, **outcome):
        number = self.paths.begin(SERVICE, server)
        self.paths.end(SERVICE, number, **outcome)

    def fail(self, *servers, was_refused=True):
        for server in servers:
            self.attempt(server, has_responded=False, was_refused=was_refused)

    def is_borrowing(self):
        return self.paths.should_borrow(SERVICE)


def test_failures_of_all_servers_between_two_responses_are_a_cut():
    world = _World()
    world.fail("s1", "s2")
    assert not world.is_borrowing()
    world.fail("s3", was_refused=False)
    assert world.is_borrowing()
    world.paths.record_borrowed(SERVICE, has_reached=True)
    assert world.changes == [PathState.SUSPECTED, PathState.CUT]


def test_a_service_with_fewer_servers_needs_fewer_failures():
    world = _World(servers=2)
    world.fail("s1")
    assert not world.is_borrowing()
    world.fail("s2")
    assert world.is_borrowing()


def test_crashes_of_some_servers_are_no_cut():
    """Pattern: servers crash while others respond all the time."""
    world = _World()
    for _ in range(20):
        world.fail("s1", "s2")
        world.attempt("s4", has_responded=True)
        world.fail("s3")
        assert not world.is_borrowing()
        world.clock.advance(0.1)


def test_failures_long_ago_are_no_cut():
    world = _World()
    for server in ("s1", "s2", "s3"):
        world.fail(server)
        world.clock.advance(2.0)
    assert not world.is_borrowing()


def test_attempts_that_hang_are_seen_before_they_end():
    """Pattern: packets are dropped, and nothing tells so."""
    world = _World()
    for server in ("s1", "s2", "s3"):
        world.paths.begin(SERVICE, server)
    assert not world.is_borrowing()
    world.clock.advance(1.01)
    assert world.is_borrowing()


def test_slow_attempts_beside_responses_are_no_cut():
    """Pattern: long queues; each response shows that the path is there."""
    world = _World()
    for server in ("s1", "s2", "s3"):
        world.paths.begin(SERVICE, server)
    for _ in range(10):
        world.clock.advance(0.5)
        world.attempt("s4", has_responded=True)
        assert not world.is_borrowing()


def test_a_cut_between_data_centres_is_no_cut_from_the_servers():
    """Pattern: a burst fails at all far servers before a near one responds."""
    world = _World(near=("s4", "s5"))
    for _ in range(5):
        world.fail("s1", "s2", "s3")
        assert not world.is_borrowing()
        assert not world.paths.may_borrow(SERVICE)
        world.clock.advance(0.2)
    world.fail("s4")
    assert world.is_borrowing()


def test_others_that_do_not_help_are_no_sign_that_the_path_is_back():
    """Pattern: most VMs are cut at once and ask each other for help."""
    world = _World()
    world.fail("s1", "s2", "s3")
    assert world.is_borrowing()
    for _ in range(20):
        world.paths.record_borrowed(SERVICE, has_reached=False)
        world.clock.advance(0.5)
        assert world.is_borrowing()
    assert world.changes == [PathState.SUSPECTED]
    world.paths.record_reached(SERVICE)
    assert not world.is_borrowing()


def test_single_attempts_are_not_borrowed_while_servers_are_down():
    """Pattern: servers crash, and no other VM connects to them either."""
    world = _World()
    world.fail("s1", "s2")
    assert world.paths.may_borrow(SERVICE)
    for _ in range(2):
        world.paths.record_borrowed(SERVICE, has_reached=False)
    # Their failures are no new evidence for a while.
    world.fail("s1", "s2")
    assert not world.paths.may_borrow(SERVICE)
    assert not world.is_borrowing()
    world.clock.advance(1.5)
    world.fail("s1", "s2")
    assert world.paths.may_borrow(SERVICE)


def test_a_dead_server_during_a_cut_does_not_end_it():
    world = _World()
    world.fail("s1", "s2", "s3")
    assert world.is_borrowing()
    for _ in range(10):
        world.paths.record_borrowed(SERVICE, has_reached=True)
        world.paths.record_borrowed(SERVICE, has_reached=False)
        assert world.is_borrowing()


def test_new_connections_are_borrowed_while_open_ones_live_on():
    world = _World()
    for _ in range(5):
        world.attempt("s4", has_responded=True)
        world.fail("s1")
        world.attempt("s5", has_responded=True)
    assert not world.paths.may_borrow(SERVICE)
    world.fail("s2")
    world.attempt("s4", has_responded=True)
    assert not world.is_borrowing()
    assert world.paths.may_borrow(SERVICE)


def test_connections_that_hang_are_not_borrowed_one_by_one():
    """Pattern: a data centre is cut off, and its own servers respond."""
    world = _World()
    for server in ("s1", "s2", "s3") * 3:
        number = world.paths.begin(SERVICE, server)
        world.clock.advance(0.3)
        world.paths.end(SERVICE, number, has_responded=False, was_refused=True)
        world.attempt("s4", has_responded=True)
        assert not world.is_borrowing()
        assert not world.paths.may_borrow(SERVICE)


def test_the_path_is_used_again_when_a_probe_connects():
    world = _World()
    world.fail("s1", "s2", "s3")
    assert world.is_borrowing()
    world.paths.record_borrowed(SERVICE, has_reached=True)
    world.paths.record_reached(SERVICE)
    assert not world.is_borrowing()
    world.fail("s1", "s2")
    assert not world.is_borrowing()


def test_cut_vms_spread_over_the_others_and_do_not_ask_each_other_for_long():
    """Pattern: all VMs of a data centre lose the path at once."""
    clock = ManualClock()
    cut = [f"a{number}" for number in range(16)]
    others = [f"b{number}" for number in range(36)]
    asked = {}
    for number, vm in enumerate(cut):
        choice = LenderChoice(clock=clock, rng=random.Random(number))
        refused = 0
        for _ in range(60):
            peers = [name for name in (*cut, *others) if name != vm]
            for name in choice.choose(peers, count=2):
                has_reached = name in others
                if has_reached:
                    choice.record_reached(name)
                    asked[name] = asked.get(name, 0) + 1
                    break
                choice.record_refused(name, LenderRefusal.CUT)
                refused += 1
        assert refused <= len(cut)
    assert len(asked) >= 20
    assert max(asked.values()) <= 6 * 60 * len(cut) / len(others)


def test_a_vm_without_room_is_asked_again_soon_and_a_cut_one_is_not():
    clock = ManualClock()
    choice = LenderChoice(clock=clock, rng=random.Random(1))
    for _ in range(5):
        choice.record_refused("full", LenderRefusal.NO_ROOM)
        choice.record_refused("cut", LenderRefusal.CUT)
    assert choice.choose(["full", "cut"], count=2) == []
    clock.advance(0.25)
    assert choice.choose(["full", "cut"], count=2) == ["full"]
    clock.advance(3.5)
    assert choice.choose(["cut"], count=2) == []
    clock.advance(0.5)
    assert choice.choose(["cut"], count=2) == ["cut"]


def test_a_vm_that_reached_servers_is_not_left_for_a_dead_one():
    clock = ManualClock()
    choice = LenderChoice(clock=clock, rng=random.Random(1))
    choice.record_reached("good")
    for vm in ("good", "cut"):
        choice.record_unreached(vm)
    assert choice.choose(["good", "cut"], count=2) == ["good"]


def _silent_cut(world, *, streams):
    """Streams run for a second; then nothing arrives any more."""
    for _ in range(streams):
        world.paths.begin_response(SERVICE)
    for _ in range(10):
        assert not world.paths.should_probe(SERVICE)
        world.paths.record_data(SERVICE)
        world.clock.advance(0.1)


def test_streams_that_all_fall_silent_are_probed_at_once():
    """Pattern: a gateway runs a step when its packets are dropped."""
    world = _World()
    _silent_cut(world, streams=40)
    world.clock.advance(0.4)
    assert world.paths.should_probe(SERVICE)
    world.paths.record_probe(SERVICE, has_reached=False)
    assert world.is_borrowing()
    assert world.changes == [PathState.SUSPECTED]
    world.paths.record_probe(SERVICE, has_reached=True)
    assert not world.is_borrowing()


def test_one_request_without_a_response_is_enough_for_a_probe():
    """Pattern: a gateway with a request a second, whose packets are dropped."""
    world = _World()
    world.attempt("s4", has_responded=True)
    world.clock.advance(1.0)
    world.paths.begin(SERVICE, "s1")
    assert not world.paths.should_probe(SERVICE)
    world.clock.advance(0.5)
    assert world.paths.should_probe(SERVICE)


def test_long_requests_are_probed_once_a_second_at_most():
    """Pattern: all servers are overloaded and respond after seconds."""
    world = _World()
    for number in range(8):
        world.paths.begin(SERVICE, f"s{number % 6}")
    probes = 0
    for _ in range(40):
        if world.paths.should_probe(SERVICE):
            probes += 1
            world.paths.record_probe(SERVICE, has_reached=True)
        assert not world.is_borrowing()
        world.clock.advance(0.1)
    assert probes <= 4


def test_an_idle_vm_probes_if_another_service_is_cut():
    world = _World()
    assert not world.paths.is_watched(SERVICE)
    world.paths.request_probe(SERVICE)
    assert world.paths.is_watched(SERVICE)
    assert world.paths.should_probe(SERVICE)
    world.paths.record_probe(SERVICE, has_reached=False)
    assert world.is_borrowing()


def test_a_service_that_just_responded_is_not_probed():
    world = _World()
    world.attempt("s1", has_responded=True)
    world.paths.request_probe(SERVICE)
    assert not world.paths.should_probe(SERVICE)


def test_streams_on_open_connections_show_that_the_path_is_there():
    """Pattern: new connections are refused in the middle of a step."""
    world = _World()
    _silent_cut(world, streams=20)
    for _ in range(20):
        world.paths.record_data(SERVICE)
        world.fail("s1", "s2", "s3", "s4")
        assert not world.is_borrowing()
        assert not world.paths.should_probe(SERVICE)
        assert world.paths.may_borrow(SERVICE)
        world.clock.advance(0.1)


def test_a_vm_may_refuse_for_hours():
    clock = ManualClock()
    choice = LenderChoice(clock=clock, rng=random.Random(1))
    for cause in LenderRefusal:
        for _ in range(5_000):
            choice.record_refused("vm", cause)
    clock.advance(8.5)
    assert choice.choose(["vm"], count=1) == ["vm"]
