"""The active configuration, its keys and its confirmation."""

import pytest

from endivespindle.core.clock import ManualClock
from endivespindle.core.reasons import Reason
from endivespindle.exceptions import RefusedError
from endivespindle.serving.active_config import ActiveConfig
from endivespindle.serving.configuration import AccountEntry
from endivespindle.serving.tests.configs import config, route


def _active_config(clock, **kwargs):
    active = ActiveConfig(clock=clock, max_unconfirmed_s=3.0, apply_s=2.0)
    active.apply_if_newer(config(**kwargs))
    active.confirm(asked_s=clock.monotonic())
    return active


def _reason(active, path="/orders/1", key="k1"):
    with pytest.raises(RefusedError) as caught:
        active.permit(host="app.example", path=path, key=key)
    return caught.value.reason


def test_requests_are_refused_as_not_ready_without_a_configuration():
    active = ActiveConfig(
        clock=ManualClock(), max_unconfirmed_s=3.0, apply_s=2.0
    )
    assert _reason(active) is Reason.NOT_READY


def test_route_with_the_longest_prefix_matches():
    active = _active_config(
        ManualClock(),
        routes=(route("short", "/o/"), route("long", "/o/deep/")),
    )
    permit = active.permit(host="app.example", path="/o/deep/1", key="k1")
    assert permit.route.name == "long"


@pytest.mark.parametrize(
    ("path", "key", "reason"),
    [
        ("/orders/1", "", Reason.KEY_MISSING),
        ("/orders/1", "k9", Reason.KEY_UNKNOWN),
        ("/nowhere/", "k1", Reason.ROUTE_UNKNOWN),
    ],
)
def test_refusals_have_distinct_reasons(path, key, reason):
    assert _reason(_active_config(ManualClock()), path, key) is reason


def test_account_priority_overrides_the_route_priority():
    accounts = (AccountEntry(name="acme", keys=("k1",), priority=0),)
    active = _active_config(ManualClock(), accounts=accounts)
    permit = active.permit(host="app.example", path="/orders/1", key="k1")
    assert (permit.client_account, permit.priority) == ("acme", 0)


def test_version_never_decreases():
    active = _active_config(ManualClock(), version=5)
    assert not active.apply_if_newer(config(version=4))
    assert active.version == 5


def test_keys_are_refused_once_the_confirmation_is_too_old():
    clock = ManualClock()
    active = _active_config(clock)
    clock.advance(3.1)
    assert _reason(active) is Reason.KEY_UNCONFIRMED
    assert _reason(active, path="/nowhere/") is Reason.CONFIG_UNCONFIRMED
    active.confirm(asked_s=clock.monotonic())
    assert active.permit(host="app.example", path="/orders/1", key="k1")


@pytest.mark.parametrize(
    ("path", "key", "reason"),
    [
        ("/orders/1", "", Reason.KEY_MISSING),
        ("/orders/1", "k9", Reason.KEY_UNKNOWN),
        ("/nowhere/", "k1", Reason.ROUTE_UNKNOWN),
    ],
)
def test_no_refusal_is_final_once_a_change_may_have_been_missed(
    path, key, reason
):
    """A newer configuration may add the route or the key, or open the route."""
    clock = ManualClock()
    active = _active_config(clock)
    clock.advance(2.0)
    assert _reason(active, path, key) is reason
    clock.advance(0.01)
    assert _reason(active, path, key) is Reason.CONFIG_UNCONFIRMED
    assert active.permit(host="app.example", path="/orders/1", key="k1")


def test_anonymous_route_needs_no_confirmation():
    clock = ManualClock()
    active = _active_config(clock, routes=(route(anonymous=True),))
    clock.advance(60.0)
    permit = active.permit(host="app.example", path="/orders/1", key="")
    assert permit.client_account == ""


def test_an_attempt_starts_only_while_its_key_is_confirmed():
    """A request waited for a retry while the VM was cut off."""
    clock = ManualClock()
    active = _active_config(clock)
    permit = active.permit(host="app.example", path="/orders/1", key="k1")
    clock.advance(3.0)
    assert active.may_send(permit, "k1")
    clock.advance(0.01)
    assert not active.may_send(permit, "k1")


def test_an_attempt_does_not_start_once_its_key_was_withdrawn():
    clock = ManualClock()
    active = _active_config(clock)
    permit = active.permit(host="app.example", path="/orders/1", key="k1")
    active.apply_if_newer(
        config(version=2, accounts=(AccountEntry(name="acme", keys=("k2",)),))
    )
    assert not active.may_send(permit, "k1")


def test_an_attempt_does_not_start_for_the_key_of_another_account():
    clock = ManualClock()
    active = _active_config(clock)
    permit = active.permit(host="app.example", path="/orders/1", key="k1")
    active.apply_if_newer(
        config(version=2, accounts=(AccountEntry(name="b", keys=("k1",)),))
    )
    assert not active.may_send(permit, "k1")


def test_an_attempt_on_an_anonymous_route_needs_no_key():
    clock = ManualClock()
    active = _active_config(clock, routes=(route(anonymous=True),))
    permit = active.permit(host="app.example", path="/orders/1", key="")
    clock.advance(60.0)
    assert active.may_send(permit, "")
