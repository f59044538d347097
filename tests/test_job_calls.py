"""Calls of batch jobs, on a host whose routes match their paths as well."""

import asyncio

from endivespindle.runtime.log_trace import parse_log, trace_lines
from tests.node_fleet import NodeFleet


def test_the_log_names_the_job_of_a_call_and_the_status(tmp_path):
    """Calls bear no id of their own, and a missing job counted as answered."""

    async def run():
        async with NodeFleet(tmp_path) as fleet:
            status, _, _ = await fleet.call("g1", "GET", "/lots/none")
            assert status == 404
            log = fleet.nodes["g1"].log
            await fleet.until(lambda: '"none"' in log.read_text())
            traced = trace_lines(
                parse_log(log.read_text().splitlines()), "none"
            )
            calls = [line for line in traced if line.event == "request"]
            assert [call.fields["status"] for call in calls] == [404]

    asyncio.run(run())
