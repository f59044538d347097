"""Headers of requests and responses."""

import pytest
from multidict import CIMultiDict

from endivespindle.platform.headers import (
    parse_request_metadata,
    parse_response_head,
    parse_response_id,
    request_headers,
)
from endivespindle.serving.calls import ServerCall
from endivespindle.serving.tests.configs import server


def _request_headers(headers, **changes):
    call = ServerCall(
        request_id="r1",
        method="POST",
        target="/orders/1",
        host="app.example",
        headers=headers,
        body=b"",
        client_account="acme",
        deadline_s=1.5,
        **changes,
    )
    return CIMultiDict(request_headers(call, server("i-1")))


def test_tenant_key_and_forged_headers_are_not_forwarded():
    sent = _request_headers(
        [
            ("Authorization", "Bearer k1"),
            ("X-Tenant", "someone-else"),
            ("X-Expect-Instance", "i-9"),
            ("X-Deadline-Ms", "999999"),
        ]
    )
    assert "Authorization" not in sent
    assert sent.getall("X-Tenant") == ["acme"]
    assert sent.getall("X-Expect-Instance") == ["i-1"]
    assert sent.getall("X-Deadline-Ms") == ["1500"]


def test_hop_by_hop_headers_are_not_forwarded():
    sent = _request_headers(
        [
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("X-Model", "m"),
        ]
    )
    assert "X-Hop" not in sent and "Transfer-Encoding" not in sent
    assert sent["X-Model"] == "m"


def test_request_metadata_ignores_malformed_values():
    metadata = parse_request_metadata(
        CIMultiDict(
            {
                "Authorization": "bearer  k1",
                "X-Request-Id": "r1",
                "X-Deadline-Ms": "soon",
                "X-Wait-Ms": "1000",
            }
        )
    )
    assert (metadata.key, metadata.deadline_s, metadata.wait_s) == (
        "k1",
        None,
        1.0,
    )
    assert (
        parse_request_metadata(CIMultiDict({"Authorization": "Basic x"})).key
        == ""
    )


def test_response_head_reports_load_and_whether_the_request_ran():
    headers = CIMultiDict({"X-Not-Executed": "1", "X-Server-Load": "12,30,12"})
    head = parse_response_head(503, headers, headers.items())
    assert head.not_run
    assert (head.load.running, head.load.waiting) == (12, 30)
    assert parse_response_head(421, CIMultiDict(), ()).not_run
    assert not parse_response_head(503, CIMultiDict(), ()).not_run


def test_response_head_reports_that_the_server_leaves():
    headers = CIMultiDict({"Server-Leaving": "1"})
    assert parse_response_head(200, headers, ()).leaving
    assert parse_response_head(503, headers, ()).leaving
    assert not parse_response_head(200, CIMultiDict(), ()).leaving


def test_another_server_at_the_address_announces_only_its_own_shutdown():
    headers = CIMultiDict({"Server-Leaving": "1"})
    assert not parse_response_head(421, headers, ()).leaving


def test_a_response_names_its_request_once():
    assert parse_response_id([("x-request-id", "r1"), ("A", "r2")]) == "r1"
    assert parse_response_id([("X-Request-Id", "r1")] * 2) == "r1"


@pytest.mark.parametrize("ids", [(), ("r1", "r2")])
def test_a_response_with_no_id_or_two_answers_no_request(ids):
    assert parse_response_id([("X-Request-Id", text) for text in ids]) is None


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [
        ("6.4", 6.4),
        ("0", 0.0),
        (" 2 ", 2.0),
        ("", None),
        ("many", None),
        ("-1", None),
        ("inf", None),
        ("nan", None),
    ],
)
def test_a_rate_limit_is_a_decimal_number_of_requests(text, limit_per_s):
    headers = {"Server-Limit": text}
    head = parse_response_head(200, headers, headers.items())
    assert head.limit_per_s == limit_per_s
