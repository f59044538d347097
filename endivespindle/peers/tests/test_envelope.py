"""Tests that envelopes are authenticated and replays are refused."""

import msgspec
import pytest

from endivespindle.exceptions import MessageError
from endivespindle.peers.envelope import EnvelopeOpener, EnvelopeSealer

SECRET = "s" * 16


def make_opener(secrets=(SECRET,), max_bytes=4096):
    return EnvelopeOpener(vm="b", secrets=list(secrets), max_bytes=max_bytes)


def make_sealer(incarnation="a-1", secret=SECRET):
    return EnvelopeSealer(vm="a", incarnation=incarnation, secret=secret)


def refusal_reason(opener, data, **kwargs):
    with pytest.raises(MessageError) as caught:
        opener.open(data, **kwargs)
    return str(caught.value)


def test_authentic_message_is_accepted_once():
    opener = make_opener()
    data = make_sealer().seal(kind="k", receiver="b", body=b"x")
    assert opener.open(data).body == b"x"
    assert refusal_reason(opener, data) == "replayed"


@pytest.mark.parametrize("cut", [0, 1, 20, -1])
def test_truncated_message_is_malformed(cut):
    data = make_sealer().seal(kind="k", receiver="b", body=b"x")
    assert refusal_reason(make_opener(), data[:cut]) == "malformed"


def test_refusal_reasons_of_long_foreign_and_unsigned_messages():
    seal = make_sealer().seal
    long = seal(kind="k", receiver="b", body=b"x" * 5000)
    assert refusal_reason(make_opener(), long) == "too_long"
    assert refusal_reason(
        make_opener(), seal(kind="k", receiver="c", body=b"")
    ) == ("foreign")
    other = make_sealer(secret="t" * 16).seal(kind="k", receiver="b", body=b"")
    assert refusal_reason(make_opener(), other) == "unauthenticated"


def test_changed_body_is_refused():
    data = make_sealer().seal(kind="k", receiver="b", body=b"pay-1")
    assert refusal_reason(make_opener(), data.replace(b"pay-1", b"pay-9")) == (
        "unauthenticated"
    )


def test_secrets_rotate_in_two_steps():
    old, new = SECRET, "n" * 16
    both = make_opener(secrets=(old, new))
    for secret in (old, new):
        sent = make_sealer(f"i-{secret}", secret).seal(
            kind="k", receiver="b", body=b""
        )
        both.open(sent)


def test_old_incarnation_cannot_alternate_with_a_new_one():
    opener = make_opener()
    old, new = make_sealer("a-1"), make_sealer("a-2")
    recorded = [old.seal(kind="k", receiver="b", body=b"") for _ in range(3)]
    opener.open(recorded[0])
    opener.open(new.seal(kind="k", receiver="b", body=b""))
    assert refusal_reason(opener, recorded[0]) == "replayed"
    opener.open(
        new.seal(kind="reply", receiver="b", body=b"", answers="b-1/7"),
        answers="b-1/7",
    )
    for data in recorded:
        assert refusal_reason(opener, data) == "replayed"
    opener.open(new.seal(kind="k", receiver="b", body=b""))


def test_replayed_message_does_not_block_the_running_incarnation():
    opener = make_opener()
    new = make_sealer("a-2")
    opener.open(new.seal(kind="k", receiver="b", body=b""))
    opener.open(make_sealer("a-1").seal(kind="k", receiver="b", body=b""))
    opener.open(new.seal(kind="k", receiver="b", body=b""))


def test_reply_must_answer_the_request():
    opener = make_opener()
    reply = make_sealer().seal(
        kind="r", receiver="b", body=b"", answers="b-1/1"
    )
    assert refusal_reason(opener, reply, answers="b-1/2") == "unasked"
    assert refusal_reason(opener, reply) == "unasked"


def test_state_of_a_sender_is_bounded():
    opener = make_opener()
    for number in range(100):
        data = make_sealer(f"a-{number}").seal(kind="k", receiver="b", body=b"")
        opener.open(data)
    state = opener._senders["a"]
    assert len(state._windows) <= 4


def test_undecodable_bytes_are_malformed():
    opener = make_opener()
    for text in (b"", b"\x80", msgspec.msgpack.encode({"kind": "k"})):
        assert refusal_reason(opener, text) == "malformed"
