"""Tests that envelopes are authenticated and replays are refused."""

import msgspec
import pytest

from endivespindle.exceptions import MessageError
from endivespindle.peers.envelope import EnvelopeOpener, EnvelopeSealer

SECRET = "s" * 16


def opener(secrets=(SECRET,), max_bytes=4096):
    return EnvelopeOpener(vm="b", secrets=list(secrets), max_bytes=max_bytes)


def sealer(incarnation="a-1", secret=SECRET):
    return EnvelopeSealer(vm="a", incarnation=incarnation, secret=secret)


def refusal(box, data, **kwargs):
    with pytest.raises(MessageError) as caught:
        box.open(data, **kwargs)
    return str(caught.value)


def test_genuine_message_opens_once():
    box = opener()
    data = sealer().seal(kind="k", receiver="b", body=b"x")
    assert box.open(data).body == b"x"
    assert refusal(box, data) == "replayed"


@pytest.mark.parametrize("cut", [0, 1, 20, -1])
def test_broken_bytes_are_malformed(cut):
    data = sealer().seal(kind="k", receiver="b", body=b"x")
    assert refusal(opener(), data[:cut]) == "malformed"


def test_long_foreign_and_unsigned_messages_are_told_apart():
    seal = sealer().seal
    long = seal(kind="k", receiver="b", body=b"x" * 5000)
    assert refusal(opener(), long) == "too_long"
    assert refusal(opener(), seal(kind="k", receiver="c", body=b"")) == (
        "foreign"
    )
    other = sealer(secret="t" * 16).seal(kind="k", receiver="b", body=b"")
    assert refusal(opener(), other) == "unauthenticated"


def test_changed_body_is_refused():
    data = sealer().seal(kind="k", receiver="b", body=b"pay-1")
    assert refusal(opener(), data.replace(b"pay-1", b"pay-9")) == (
        "unauthenticated"
    )


def test_secrets_rotate_in_two_steps():
    old, new = SECRET, "n" * 16
    both = opener(secrets=(old, new))
    for secret in (old, new):
        sent = sealer(f"i-{secret}", secret).seal(
            kind="k", receiver="b", body=b""
        )
        both.open(sent)


def test_old_incarnation_cannot_alternate_with_a_new_one():
    box = opener()
    old, new = sealer("a-1"), sealer("a-2")
    recorded = [old.seal(kind="k", receiver="b", body=b"") for _ in range(3)]
    box.open(recorded[0])
    box.open(new.seal(kind="k", receiver="b", body=b""))
    assert refusal(box, recorded[0]) == "replayed"
    box.open(
        new.seal(kind="reply", receiver="b", body=b"", answers="b-1/7"),
        answers="b-1/7",
    )
    for data in recorded:
        assert refusal(box, data) == "replayed"
    box.open(new.seal(kind="k", receiver="b", body=b""))


def test_recorded_message_cannot_shut_out_the_running_incarnation():
    box = opener()
    new = sealer("a-2")
    box.open(new.seal(kind="k", receiver="b", body=b""))
    box.open(sealer("a-1").seal(kind="k", receiver="b", body=b""))
    box.open(new.seal(kind="k", receiver="b", body=b""))


def test_reply_must_answer_the_request():
    box = opener()
    reply = sealer().seal(kind="r", receiver="b", body=b"", answers="b-1/1")
    assert refusal(box, reply, answers="b-1/2") == "unasked"
    assert refusal(box, reply) == "unasked"


def test_state_of_a_sender_is_bounded():
    box = opener()
    for number in range(100):
        data = sealer(f"a-{number}").seal(kind="k", receiver="b", body=b"")
        box.open(data)
    state = box._senders["a"]
    assert len(state._windows) <= 4


def test_random_bytes_never_pass():
    box = opener()
    for text in (b"", b"\x80", msgspec.msgpack.encode({"kind": "k"})):
        assert refusal(box, text) == "malformed"
