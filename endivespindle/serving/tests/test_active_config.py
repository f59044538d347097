"""The configuration in force, its keys, and how fresh it is."""

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.configuration import AccountEntry
from endivespindle.serving.tests.configs import config, route


def _in_force(clock, **kwargs):
    held = ActiveConfig(clock=clock, max_unconfirmed_s=3.0)
    held.apply_if_newer(config(**kwargs))
    held.confirm(asked_s=clock.monotonic())
    return held


def _reason(held, path="/orders/1", key="k1"):
    with pytest.raises(RefusedError) as caught:
        held.permit(host="app.example", path=path, key=key)
    return caught.value.reason


def test_nothing_is_denied_before_the_first_configuration():
    held = ActiveConfig(clock=ManualClock(), max_unconfirmed_s=3.0)
    assert _reason(held) is Reason.NOT_READY


def test_the_longest_prefix_is_taken():
    held = _in_force(
        ManualClock(),
        routes=(route("short", "/o/"), route("long", "/o/deep/")),
    )
    permit = held.permit(host="app.example", path="/o/deep/1", key="k1")
    assert permit.route.name == "long"


@pytest.mark.parametrize(
    ("path", "key", "reason"),
    [
        ("/orders/1", "", Reason.KEY_MISSING),
        ("/orders/1", "k9", Reason.KEY_UNKNOWN),
        ("/nowhere/", "k1", Reason.ROUTE_UNKNOWN),
    ],
)
def test_what_is_not_allowed_is_told_apart(path, key, reason):
    assert _reason(_in_force(ManualClock()), path, key) is reason


def test_an_account_s_priority_goes_before_the_route_s():
    accounts = (AccountEntry(name="acme", keys=("k1",), priority=0),)
    held = _in_force(ManualClock(), accounts=accounts)
    permit = held.permit(host="app.example", path="/orders/1", key="k1")
    assert (permit.client_account, permit.priority) == ("acme", 0)


def test_a_version_never_falls():
    held = _in_force(ManualClock(), version=5)
    assert not held.apply_if_newer(config(version=4))
    assert held.version == 5


def test_keys_are_refused_as_not_run_once_unconfirmed():
    clock = ManualClock()
    held = _in_force(clock)
    clock.advance(3.1)
    assert _reason(held) is Reason.KEY_UNCONFIRMED
    assert _reason(held, path="/nowhere/") is Reason.KEY_UNCONFIRMED
    held.confirm(asked_s=clock.monotonic())
    assert held.permit(host="app.example", path="/orders/1", key="k1")


def test_an_anonymous_route_is_served_unconfirmed():
    clock = ManualClock()
    held = _in_force(clock, routes=(route(anonymous=True),))
    clock.advance(60.0)
    permit = held.permit(host="app.example", path="/orders/1", key="")
    assert permit.client_account == ""
