"""Parsing of event streams, and calls and bodies of batch jobs."""

import msgspec
import pytest

from endivespindle.batch.job_calls import (
    JobAction,
    JobCall,
    job_call_methods,
    parse_job_call,
)
from endivespindle.batch.progress import ItemOutcome, ItemResult
from endivespindle.exceptions import BackendServerError, MessageError
from endivespindle.platform.event_stream import EventStreamParser
from endivespindle.platform.jobs import (
    JOB_CALLS,
    decode_submission,
    encode_page,
)
from endivespindle.serving.configuration import RouteKind
from endivespindle.serving.tests.configs import route

STREAM = (
    b"id: 1\ndata: one\n\nx-weight-versions: 4\nid: 2\ndata: two\n\n"
    b"id: 3\ndata: a\ndata: b\n\n"
)
SUBMISSION = (
    b'{"step":7,"model":"m0","minVersion":6,"groupCount":1,"items":[{"id":"i1",'
    b'"path":"/g/1","headers":{"X-Length-Hint":"90"},"body":"q83v","tokens":94,'
    b'"group":"g1","scorer":{"id":"s1","host":"h","path":"/p","body":"3q0="}}]}'
)


@pytest.mark.parametrize("size", [1, 3, 7, len(STREAM)])
def test_events_do_not_depend_on_chunk_boundaries(size):
    parser = EventStreamParser()
    events = []
    for start in range(0, len(STREAM), size):
        events += parser.feed(STREAM[start : start + size])
    assert [e.event_id for e in events] == [1, 2, 3]
    assert [e.weight_version for e in events] == [None, 4, None]
    assert [e.data for e in events] == ["one", "two", "a\nb"]
    assert b"".join(e.raw for e in events) == STREAM
    assert parser.is_complete


def test_stream_that_ends_within_an_event_is_incomplete():
    parser = EventStreamParser()
    parser.feed(STREAM[:-4])
    assert not parser.is_complete


@pytest.mark.parametrize("data", [b"data: x\n\n", b"id: x\n\n", b"\xff\n\n"])
def test_malformed_event_raises_an_error(data):
    with pytest.raises(BackendServerError):
        EventStreamParser().feed(data)


def _decode(body):
    return decode_submission(
        body,
        job_id="j1",
        client_account="acme",
        route=route(kind=RouteKind.BATCH, due_s=7.5, max_wait_s=40.0),
        service="engine",
        path="/jobs/1",
        submitted_ms=1,
        owner="n1/a",
    )


def test_submission_is_decoded():
    job = _decode(SUBMISSION)
    assert (job.min_version, job.group_count, job.due_s) == (6, 1, 7.5)
    assert (job.items[0].body, job.items[0].hint) == (b"\xab\xcd\xef", 90)
    assert job.items[0].score.body == b"\xde\xad"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        SUBMISSION.replace(b'"q83v"', b'"not base64"'),
        SUBMISSION.replace(b"]}", b',{"id":"i1","path":"/","body":""}]}'),
    ],
)
def test_malformed_submission_is_rejected(body):
    with pytest.raises(MessageError):
        _decode(body)


def test_page_has_the_position_of_the_next_one():
    result = ItemResult(
        item_id="i1",
        outcome=ItemOutcome.COMPLETE,
        text="one\ntwo",
        versions=(6, 7),
        score="sig",
    )
    page = msgspec.json.decode(encode_page(total=4, after=2, results=[result]))
    assert page["nextToken"] == 3
    assert page["results"][0]["versions"] == [6, 7]


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("GET", "/lots/j1", JobCall(action=JobAction.READ, job_id="j1")),
        (
            "GET",
            "/lots/j1?after=7&id=x",
            JobCall(action=JobAction.READ, job_id="j1", position="7"),
        ),
        (
            "GET",
            "/lots/j1?after=",
            JobCall(action=JobAction.READ, job_id="j1", position=""),
        ),
        ("DELETE", "/lots/j1", JobCall(action=JobAction.END, job_id="j1")),
        (
            "GET",
            "/items/j1?id=a%2Fb&id=c",
            JobCall(action=JobAction.READ_ITEM, job_id="j1", item_id="a/b"),
        ),
        ("GET", "/items/j1", None),
        ("GET", "/items/j1?id=", None),
        ("GET", "/items/j1?ID=x", None),
        ("DELETE", "/items/j1?id=x", None),
        ("POST", "/lots/j1", None),
        ("PUT", "/lots/j1", None),
        ("HEAD", "/lots/j1", None),
        ("get", "/lots/j1", None),
        ("GET", "/lots/", None),
        ("GET", "/lots", None),
        ("GET", "/lots/j1/", None),
        ("GET", "/lots/j1/x", None),
        ("GET", "//lots/j1", None),
        ("GET", "/a/lots/j1", None),
        ("GET", "/?x=/lots/j1", None),
        ("GET", "/else/j1", None),
        ("GET", "", None),
        ("GET", "*", None),
    ],
)
def test_only_the_calls_of_a_job_are_recognised(method, target, expected):
    assert parse_job_call(method, target, syntax=JOB_CALLS) == expected


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/lots/j1", ["GET", "DELETE"]),
        ("/items/j1?id=x", ["GET"]),
        ("/lots/", []),
        ("/lots/j1/x", []),
        ("/else/j1", []),
    ],
)
def test_methods_that_make_a_path_a_job_call_are_told(path, expected):
    assert job_call_methods(path, syntax=JOB_CALLS) == expected
