"""Entries of other writers that are nested deeply or hold odd numbers."""

import asyncio
import json

import msgspec
import pytest
from aiohttp import web

from endivespindle.core.decoding import decode_json, decode_msgpack
from endivespindle.exceptions import (
    BackendServerError,
    MessageError,
    PlatformError,
    RefusedError,
)
from endivespindle.platform.documents import (
    decode_config,
    decode_server,
    decode_version,
)
from endivespindle.platform.event_stream import EventStreamParser
from endivespindle.platform.headers import (
    parse_response_head,
    parse_weight_version,
)
from endivespindle.platform.jobs import decode_submission
from endivespindle.platform.objects import PlatformObjectStore
from endivespindle.runtime.fleet_view import FleetView
from endivespindle.runtime.ingress import _parse_position
from endivespindle.runtime.sessions import open_node_session
from endivespindle.serving.tests.configs import route
from endivespindle.store.object_store import StoredObject
from tests.fleet_fakes import node_settings

DEPTH = 5_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
HUGE = 10**400
SERVER = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "born": 5,
}


def _entry(**changes):
    # The standard library writes integers of any size.
    return json.dumps(SERVER | changes).encode()


def _deep_entry():
    return _entry()[:-1] + b',"later":' + DEEP + b"}"


def _submission(body):
    return decode_submission(
        body,
        job_id="j",
        client_account="a",
        route=route(),
        service="s",
        path="/",
        submitted_ms=0,
        owner="n1",
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"address": f"10.0.0.9:{'9' * DEPTH}"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:99999"},
        {"address": "10.0.0.9:-1"},
        {"address": "10.0.0.9:٨٠٨٠"},
        {"address": "10.0.0.9:²"},
        {"address": ":8080"},
        {"address": "10.0.0.9/x:8080"},
        {"address": "user@10.0.0.9:8080"},
        {"address": "10.0.0.9\r\n:8080"},
        {"slots": -1},
        {"slots": 0},
        {"slots": 10**30},
        {"born": -1},
        {"born": HUGE},
        {"born": 1e400},
        {"leaves_ms": 1e300},
        {"leaves_ms": HUGE},
        {"coldLeftMs": HUGE},
        {"models": [{"name": "m", "version": HUGE}]},
        {"models": [{"name": "m", "version": -1}]},
    ],
)
def test_an_entry_with_an_odd_number_names_no_server(changes):
    with pytest.raises(MessageError):
        decode_server("odd", _entry(**changes))


def test_an_entry_with_usual_numbers_names_a_server():
    entry = decode_server("i-1", _entry(leaves_ms=1500.0, coldLeftMs=20.0))
    assert (entry.host, entry.port, entry.leaves_in_s) == (
        "10.0.0.9",
        8080,
        1.5,
    )


@pytest.mark.parametrize(
    "decode",
    [
        lambda: decode_server("odd", _deep_entry()),
        lambda: decode_config(DEEP),
        lambda: decode_version(DEEP),
        lambda: decode_version(b'{"model":"m","version":%d}' % HUGE),
        lambda: _submission(DEEP),
    ],
)
def test_a_document_nested_too_deeply_is_malformed(decode):
    with pytest.raises(MessageError):
        decode()


@pytest.mark.parametrize("digits", ["9" * DEPTH, "²", "٣", "-1", ""])
def test_an_odd_count_in_a_message_counts_as_missing(digits):
    assert parse_weight_version(digits) is None
    head = parse_response_head(200, {"X-Server-Load": f"1,{digits},8"}, [])
    assert head.load is None
    with pytest.raises(BackendServerError):
        EventStreamParser().feed(f"id: {digits}\ndata: t\n\n".encode())
    with pytest.raises(RefusedError):
        _parse_position(digits)
    items = [
        {
            "id": "i",
            "path": "/",
            "headers": {
                "X-Length-Hint": digits,
                "X-Prompt-Prefix": f"ab:{digits}",
            },
            "body": "",
            "tokens": 1,
        }
    ]
    job = _submission(msgspec.json.encode({"items": items}))
    assert (job.items[0].hint, job.items[0].prompt_tokens) == (0, 0)


def test_a_deep_record_of_a_node_counts_as_removed():
    fleet = FleetView(settings=node_settings(), incarnation="n")
    with pytest.raises(PlatformError):
        fleet.apply(StoredObject(kind="vms", name="x", version=1, value=DEEP))


def test_deep_messages_between_nodes_are_decode_errors():
    with pytest.raises(msgspec.DecodeError):
        decode_json(DEEP, type=list)
    with pytest.raises(msgspec.DecodeError):
        decode_msgpack(b"\x91" * DEPTH + b"\x90", type=list)


async def _serve(body):
    """Serves one body as every response of the store."""

    async def handle(request):
        del request
        return web.Response(body=body, content_type="application/json")

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, runner.addresses[0][1]


def _ask(body, question):
    """Asks a store whose responses all have one body."""

    async def run():
        runner, port = await _serve(body)
        session = open_node_session()
        try:
            return await question(
                PlatformObjectStore(
                    session=session,
                    base_url=f"http://127.0.0.1:{port}",
                    timeout_s=5.0,
                )
            )
        finally:
            await session.close()
            await runner.cleanup()

    return asyncio.run(run())


def _object(name, spec):
    return b'{"metadata":{"name":"%s","revision":3},"spec":%s}' % (
        name.encode(),
        spec,
    )


def test_the_other_entries_of_a_page_with_a_deep_one_hold():
    objects = [
        _object("i-1", _entry()),
        _object("odd", _deep_entry()),
        _object("i-2", _entry(zone='a "]} zone')),
    ]
    body = b'{"items":[%s],"storeRevision":9}' % b",".join(objects)
    found = _ask(body, lambda store: store.list_objects(kind="servers"))
    assert [obj.name for obj in found.objects] == ["i-1", "odd", "i-2"]
    by_name = {obj.name: obj.value for obj in found.objects}
    assert decode_server("i-1", by_name["i-1"]).port == 8080
    assert decode_server("i-2", by_name["i-2"]).data_centre == 'a "]} zone'
    with pytest.raises(MessageError):
        decode_server("odd", by_name["odd"])


def test_the_other_events_beside_a_deep_one_hold():
    events = [
        b'{"object":%s}' % _object("odd", _deep_entry()),
        b'{"object":%s,"tombstone":true}' % _object("i-1", b"null"),
    ]
    body = b'{"events":[%s],"storeRevision":9}' % b",".join(events)
    found = _ask(
        body, lambda store: store.watch(kind="servers", after=1, wait_s=0.1)
    )
    assert [obj.name for obj in found.objects] == ["odd", "i-1"]
    assert found.objects[1].value is None
    with pytest.raises(MessageError):
        decode_server("odd", found.objects[0].value)


def test_a_deep_object_is_read_as_malformed():
    body = _object("odd", _deep_entry())
    found = _ask(body, lambda store: store.get(kind="servers", name="odd"))
    with pytest.raises(MessageError):
        decode_server("odd", found.value)


def test_a_response_that_is_deep_elsewhere_is_lost():
    body = b'{"items":[],"storeRevision":9,"later":%s}' % DEEP
    with pytest.raises(PlatformError):
        _ask(body, lambda store: store.get(kind="servers", name="odd"))
