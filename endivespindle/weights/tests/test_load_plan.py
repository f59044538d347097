"""Planning of weight loads while steps run."""

from endivespindle.core.clock import ManualClock
from endivespindle.serving.directory import ServerDirectory
from endivespindle.serving.tests.configs import server
from endivespindle.weights.load_plan import (
    LoadOrder,
    assign_servers,
    plan_loads,
)

MODELS = ("m0", "m1", "m2")


def _engines(count, versions):
    directory = ServerDirectory(clock=ManualClock())
    for number in range(count):
        directory.put(
            server(f"e{number}", service="engine", versions=dict(versions))
        )
    return directory.available_servers("engine")


def _run(servers, steps, *, lag=1, models=MODELS):
    """Publishes a version of each model in each step; loads end within it.

    Returns:
        Number of loads ordered, and the minimum number of usable servers
        that a step found.
    """
    newest_versions = dict.fromkeys(models, 1)
    loads, min_usable = 0, len(servers)
    for _ in range(steps):
        newest_versions = {
            model: version + 1 for model, version in newest_versions.items()
        }
        required = {m: v - lag for m, v in newest_versions.items()}
        for model, assigned in assign_servers(servers, newest_versions).items():
            usable = [
                v for v in assigned if v.versions[model] >= required[model]
            ]
            min_usable = min(min_usable, len(usable))
        for _ in range(20):
            orders = plan_loads(
                servers,
                newest_versions=newest_versions,
                required=required,
                loading={},
            )
            for order in orders:
                view = next(v for v in servers if v.entry.name == order.server)
                view.record_version(order.model, order.version)
                loads += 1
    return loads, min_usable


def test_every_step_finds_usable_servers_and_loads_stay_within_their_share():
    """Three trainers on six servers: two loads per version are free."""
    loads, min_usable = _run(_engines(6, dict.fromkeys(MODELS, 1)), steps=20)
    assert min_usable >= 1
    assert loads <= 20 * 3 * 2


def test_a_required_newest_version_is_loaded_on_all_servers():
    servers = _engines(2, {"m0": 1})
    newest_versions, required = {"m0": 2}, {"m0": 2}
    orders = plan_loads(
        servers, newest_versions=newest_versions, required=required, loading={}
    )
    assert {o.server for o in orders} == {"e0", "e1"}


def test_many_servers_keep_up_with_four_trainers():
    """23 servers, 11 per model: every step finds half of them usable."""
    models = ("m0", "m1", "m2", "m3")
    servers = _engines(23, dict.fromkeys(models, 1))
    newest_versions = dict.fromkeys(models, 3)
    orders = plan_loads(
        servers, newest_versions=newest_versions, required={}, loading={}
    )
    assert len(orders) == 9


def test_ordered_servers_do_not_raise_the_number_of_concurrent_loads():
    """Five servers became twelve; the weight store is the same."""
    servers = _engines(12, dict.fromkeys(MODELS, 1))
    orders = plan_loads(
        servers,
        newest_versions=dict.fromkeys(MODELS, 3),
        required={},
        loading={},
        baseline_count=5,
    )
    assert len(orders) == 2


def test_no_more_than_two_servers_load_at_once():
    servers = _engines(6, dict.fromkeys(MODELS, 1))
    newest_versions = dict.fromkeys(MODELS, 5)
    loading = {"e0": LoadOrder(server="e0", model="m0", version=5)}
    orders = plan_loads(
        servers, newest_versions=newest_versions, required={}, loading=loading
    )
    assert len(orders) == 1
    assert orders[0].server != "e0"


def test_assigned_servers_mostly_stay_across_versions():
    servers = _engines(6, dict.fromkeys(MODELS, 1))
    first = assign_servers(servers, dict.fromkeys(MODELS, 2))
    _run(servers, steps=6)
    later = assign_servers(servers, dict.fromkeys(MODELS, 7))
    for model in MODELS:
        old = {v.entry.name for v in first[model]}
        new = {v.entry.name for v in later[model]}
        assert len(old & new) >= len(old) - 1


def test_nothing_is_loaded_before_a_version_is_published():
    servers = _engines(3, {"m0": 1})
    assert (
        plan_loads(servers, newest_versions={}, required={}, loading={}) == []
    )


def test_ordered_servers_add_slots_but_no_more_loads():
    """Six baseline and six ordered servers: two free loads per version."""
    servers = _engines(12, dict.fromkeys(MODELS, 1))
    newest_versions = dict.fromkeys(MODELS, 2)
    assigned = assign_servers(servers, newest_versions, baseline_count=6)
    assert {len(views) for views in assigned.values()} == {4}
    used = [view.entry.name for views in assigned.values() for view in views]
    assert len(set(used)) == 12


def test_no_model_depends_on_servers_that_limit_their_request_rate():
    """Pattern: most servers name limits while three trainers run steps."""
    servers = _engines(9, dict.fromkeys(MODELS, 1))
    for view in servers[3:]:
        view.record_limit(2.0)
    assignments = assign_servers(servers, dict.fromkeys(MODELS, 5))
    for assigned in assignments.values():
        assert set(servers[:3]) <= set(assigned)


def test_servers_without_a_limit_take_over_from_those_that_name_one():
    """The limited servers have the versions; the others are behind."""
    servers = _engines(4, {"m0": 5})
    for view in servers[2:]:
        view.record_version("m0", 1)
    assert assign_servers(servers, {"m0": 5}, None, 1)["m0"] == servers[:2]
    for view in servers[:2]:
        view.record_limit(2.0)
    assert assign_servers(servers, {"m0": 5}, None, 1)["m0"] == servers[2:]


def test_a_limit_beyond_the_slots_changes_nothing():
    servers = _engines(4, {"m0": 5})
    before = assign_servers(servers, {"m0": 5}, None, 1)
    servers[0].record_limit(1000.0)
    assert assign_servers(servers, {"m0": 5}, None, 1) == before
