"""Calls of batch jobs, on a host whose routes match their paths as well."""

import base64
import json

import pytest

from endivespindle.runtime.log_trace import parse_log, trace_lines
from tests.node_fleet import HOST, NodeFleet, config

_JOB = "9a64f1c0837be25d"
_ITEMS = 4
# This item waits for its reward call, so it is not listed.
_UNLISTED = f"{_JOB}-open"


def _submission():
    items = [
        {
            "id": f"{_JOB}-{n}",
            "path": "/steps/x",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 10,
            "group": "g0",
        }
        for n in range(_ITEMS)
    ]
    waiting = {
        **items[0],
        "id": _UNLISTED,
        "group": "g1",
        "scorer": {
            "id": "score-1",
            "host": "no-route.example",
            "path": "/score",
            "body": base64.b64encode(b"{}").decode(),
        },
    }
    return json.dumps(
        {
            "step": 0,
            "model": "m",
            "minVersion": 1,
            "groupCount": 2,
            "items": [*items, waiting],
        }
    ).encode()


_DEFAULT_ROUTES = {
    "idempotent": {"kind": "idempotent"},
    "anonymous": {"kind": "idempotent", "anonymous": True},
    "non_idempotent": {"kind": "non_idempotent"},
    "rollout": {"kind": "rollout", "dueMs": 7500, "maxWaitS": 40},
}


def _config_with_default_route(version, fields, *, has_own_route=True):
    """Returns a configuration whose route `/` matches all paths."""
    doc = config(version=version)
    if not has_own_route:
        doc["routes"] = [r for r in doc["routes"] if r["name"] != "steps"]
    doc["routes"].append(
        {
            "name": "default",
            "host": HOST,
            "pathPrefix": "/",
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "priority": 2,
            "service": "plain",
            "maxAttempts": 3,
            **fields,
        }
    )
    return doc


async def _apply(fleet, doc):
    """Writes a configuration and waits until both gateways have it."""
    fleet.platform.write("config", "main", doc)
    taken = f'"version":{doc["version"]},"before":'

    def is_taken():
        return all(
            taken in fleet.nodes[name].log.read_text() for name in ("g1", "g2")
        )

    await fleet.until(is_taken)


async def _submit_and_read(fleet):
    status, _, _ = await fleet.call(
        "g1",
        "POST",
        "/steps/1",
        body=_submission(),
        **{"X-Request-Id": _JOB},
    )
    assert status == 202

    async def are_listed():
        return len((await _page(fleet, "g1"))["results"]) == _ITEMS

    await fleet.until(are_listed)
    return (await _page(fleet, "g1"))["results"]


async def _page(fleet, node, **headers):
    status, _, body = await fleet.call(
        node, "GET", f"/lots/{_JOB}?after=0", **headers
    )
    assert status == 200
    return json.loads(body)


def _is_ended(fleet):
    progress = fleet.platform.read("job-progress", _JOB)
    return progress["spec"].get("ended", False)


def _runs(fleet):
    return {run[0] for s in (*fleet.plain, *fleet.engines) for run in s.runs}


@pytest.mark.parametrize("kind", list(_DEFAULT_ROUTES))
async def test_no_route_takes_the_calls_of_a_batch_job(tmp_path, kind):
    """A version that added a route hid the jobs of its host for good."""
    async with NodeFleet(tmp_path) as fleet:
        results = await _submit_and_read(fleet)
        before = _runs(fleet)
        for version, has_own_route in ((5, True), (6, False)):
            await _apply(
                fleet,
                _config_with_default_route(
                    version,
                    _DEFAULT_ROUTES[kind],
                    has_own_route=has_own_route,
                ),
            )
            for node in ("g1", "g2"):
                await _check_calls(fleet, node, results)
                await _check_calls(
                    fleet, node, results, **{"X-Request-Id": node}
                )
        for node in ("g1", "g2"):
            status, _, _ = await fleet.call(node, "DELETE", f"/lots/{_JOB}")
            assert status == 200
        page = await _page(fleet, "g2")
        assert page["results"][:_ITEMS] == results
        assert _runs(fleet) == before


async def _check_calls(fleet, node, results, **headers):
    """Checks the calls of the open job, and of one that does not exist."""
    page = await _page(fleet, node, **headers)
    assert page["results"][:_ITEMS] == results
    status, _, body = await fleet.call(
        node, "GET", f"/items/{_JOB}?id={_UNLISTED}", **headers
    )
    assert (status, body) == (200, b"prompt")
    for method, path in (
        ("GET", "/lots/none"),
        ("DELETE", "/lots/none"),
        ("GET", "/items/none?id=x"),
    ):
        for key, expected in (("k1", 404), ("k9", 401), ("", 401)):
            status, _, _ = await fleet.call(
                node, method, path, key=key, **headers
            )
            assert status == expected, (method, path, key)


async def test_requests_that_only_resemble_calls_of_a_job_go_by_their_route(
    tmp_path,
):
    """An application keeps its own paths beside those of batch jobs."""
    async with NodeFleet(tmp_path) as fleet:
        await _submit_and_read(fleet)
        requests = (
            ("POST", f"/lots/{_JOB}"),
            ("PUT", f"/lots/{_JOB}"),
            ("GET", f"/lots/{_JOB}/"),
            ("GET", f"/lots/{_JOB}/pages"),
            ("DELETE", f"/lots/{_JOB}/pages"),
            ("GET", "/lots/"),
            ("GET", "/lots"),
            ("GET", f"/LOTS/{_JOB}"),
            ("GET", f"/a/lots/{_JOB}"),
            ("POST", f"/items/{_JOB}?id={_UNLISTED}"),
            ("DELETE", f"/items/{_JOB}?id={_UNLISTED}"),
            ("GET", f"/items/{_JOB}"),
            ("GET", f"/items/{_JOB}?id="),
            ("GET", f"/items/{_JOB}/x?id={_UNLISTED}"),
        )
        for number, (method, path) in enumerate(requests):
            status, _, _ = await fleet.call(
                "g2", method, path, **{"X-Request-Id": f"n{number}"}
            )
            assert status == 404, (method, path)
        assert not any(f"n{n}" in _runs(fleet) for n in range(99))
        await _apply(
            fleet,
            _config_with_default_route(5, _DEFAULT_ROUTES["idempotent"]),
        )
        for number, (method, path) in enumerate(requests):
            status, headers, _ = await fleet.call(
                "g2", method, path, **{"X-Request-Id": f"a{number}"}
            )
            assert status == 200, (method, path)
            assert headers["X-Server-Stamp"].endswith(f".a{number}")
        assert not _is_ended(fleet)


async def test_the_log_names_the_job_of_a_call_and_the_status(tmp_path):
    """Calls bear no id of their own, and a missing job counted as answered."""
    async with NodeFleet(tmp_path) as fleet:
        status, _, _ = await fleet.call("g1", "GET", "/lots/none")
        assert status == 404
        log = fleet.nodes["g1"].log
        await fleet.until(lambda: '"none"' in log.read_text())
        traced = trace_lines(parse_log(log.read_text().splitlines()), "none")
        calls = [line for line in traced if line.event == "request"]
        assert [call.fields["status"] for call in calls] == [404]


async def test_only_a_post_submits_a_batch_job(tmp_path):
    """Any method under the route of batch jobs created one."""
    async with NodeFleet(tmp_path) as fleet:
        for method in ("GET", "PUT", "DELETE", "PATCH"):
            status, _, _ = await fleet.call(
                "g1",
                method,
                "/steps/1",
                body=_submission(),
                **{"X-Request-Id": _JOB},
            )
            assert status == 405, method
        status, _, _ = await fleet.call("g2", "GET", f"/lots/{_JOB}")
        assert status == 404
        await _submit_and_read(fleet)


@pytest.mark.parametrize("is_owner_killed", [False, True])
async def test_another_client_account_neither_ends_nor_reads_a_job(
    tmp_path, is_owner_killed
):
    """The end was carried out before the accounts were compared."""
    async with NodeFleet(tmp_path) as fleet:
        doc = config(version=5)
        doc["tenants"].append({"name": "other", "apiKeys": ["k2"]})
        await _apply(fleet, doc)
        results = await _submit_and_read(fleet)
        nodes = ["g1", "g2"]
        if is_owner_killed:
            progress = fleet.platform.read("job-progress", _JOB)
            owner = progress["spec"]["owner"].partition("/")[0]
            fleet.kill(owner)
            await fleet.nodes[owner].proc.wait()
            nodes.remove(owner)
        for node in nodes:
            for method, path in (
                ("DELETE", f"/lots/{_JOB}"),
                ("GET", f"/lots/{_JOB}?after=0"),
                ("GET", f"/items/{_JOB}?id={_UNLISTED}"),
            ):
                status, _, body = await fleet.call(node, method, path, key="k2")
                assert status == 403, (node, method, path)
                assert b"prompt" not in body
        assert not _is_ended(fleet)
        for node in nodes:
            await _check_calls(fleet, node, results)
        status, _, _ = await fleet.call(nodes[0], "DELETE", f"/lots/{_JOB}")
        assert status == 200
        assert _is_ended(fleet)


def _config_without_accounts(version):
    doc = config(version=version)
    del doc["tenants"]
    return doc


def _config_with_anonymous_jobs(version):
    doc = config(version=version)
    for route in doc["routes"]:
        route["anonymous"] = True
    return doc


@pytest.mark.parametrize(
    "make_config", [_config_without_accounts, _config_with_anonymous_jobs]
)
async def test_a_job_without_a_client_account_stays_reachable(
    tmp_path, make_config
):
    """It was refused to every client account."""
    async with NodeFleet(tmp_path) as fleet:
        await _apply(fleet, make_config(5))
        results = await _submit_and_read(fleet)
        await _apply(fleet, config(version=6))
        for node in ("g1", "g2"):
            await _check_calls(fleet, node, results)
        status, _, _ = await fleet.call("g2", "DELETE", f"/lots/{_JOB}")
        assert status == 200
        assert _is_ended(fleet)


async def test_a_job_outlives_versions_without_its_host_or_account(tmp_path):
    """Its calls depend on a key of its client account alone."""
    on_other_host = config(version=5)
    for route in on_other_host["routes"]:
        route["host"] = "elsewhere.example"
    without_account = config(version=6)
    without_account["tenants"] = [{"name": "other", "apiKeys": ["k2"]}]
    async with NodeFleet(tmp_path) as fleet:
        results = await _submit_and_read(fleet)
        await _apply(fleet, on_other_host)
        for node in ("g1", "g2"):
            await _check_calls(fleet, node, results)
        await _apply(fleet, without_account)
        for key, expected in (("k1", 401), ("k2", 403)):
            for method in ("GET", "DELETE"):
                status, _, _ = await fleet.call(
                    "g1", method, f"/lots/{_JOB}", key=key
                )
                assert status == expected, (method, key)
        await _apply(fleet, _config_without_accounts(7))
        page = await _page(fleet, "g2", key="")
        assert page["results"][:_ITEMS] == results
        await _apply(fleet, config(version=8, keys=("k1", "k3")))
        for node in ("g1", "g2"):
            await _check_calls(fleet, node, results)
        assert not _is_ended(fleet)
