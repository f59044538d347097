"""Bytes after a complete answer reach the next client as its success."""

import asyncio
import pathlib
import sys

import aiohttp

from review.support.fleet import Fleet, default_config, run_case
from review.support.record import Record
from review.support.samplers import PlainServer, Request

_REQUESTS = 150
_INTERVAL_S = 0.01
# One answer in this many is followed by further bytes, after this time.
_EVERY = 34
_EXTRA_DELAY_S = 0.005
_EXTRA_BODY = b"left over from a former client"
_EXTRA = (
    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_EXTRA_BODY)
) + _EXTRA_BODY


class _FaultyServer(PlainServer):
    """Sends additional bytes after some of its complete answers."""

    disturb = False

    def after_answer(
        self, request: Request, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if self.disturb and len(self.runs) % _EVERY == 0:
            asyncio.get_running_loop().call_later(
                _EXTRA_DELAY_S, self._send_more, writer
            )

    def _send_more(self, writer: asyncio.StreamWriter) -> None:
        if not writer.transport.is_closing():
            writer.write(_EXTRA)
            self.record.write(self.name, "sends bytes that are no answer")


async def _case(record: Record, trouble: bool) -> list[str]:
    faulty = _FaultyServer(
        name="p1", service="desk-app", record=record, slots=6
    )
    faulty.disturb = trouble
    sound = PlainServer(
        name="p2",
        service="desk-app",
        record=record,
        slots=6,
        zone="b",
        work_s=1.3 * faulty.work_s,
    )
    broken = []
    async with (
        Fleet(
            record=record, samplers=[faulty, sound], config=default_config()
        ) as fleet,
        aiohttp.ClientSession() as session,
    ):
        for number in range(_REQUESTS):
            request_id = f"r{number:04}"
            body = f"order {number}".encode()
            status, headers, answer = await fleet.call(
                fleet.names[0],
                "POST",
                "/status/x",
                body=body,
                request_id=request_id,
                session=session,
            )
            if 200 <= status < 300 and (
                request_id not in headers.get("X-Server-Stamp", "")
                or answer != b"done " + body
            ):
                broken.append(
                    f"MIXED: {request_id} got {status} {answer!r} with"
                    f" stamp {headers.get('X-Server-Stamp')}"
                )
            await asyncio.sleep(_INTERVAL_S)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(_case, pathlib.Path(__file__).parent))
