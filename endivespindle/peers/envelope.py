"""Authenticated envelopes of messages between peers."""

import collections
import hashlib
import hmac

import msgspec

from endivespindle.core.decoding import decode_msgpack
from endivespindle.exceptions import MessageError
from endivespindle.schema.generated.peer import Envelope

__all__ = ["EnvelopeOpener", "EnvelopeSealer", "ReplayWindow"]

_WINDOW_BITS = 1024
_MAX_RETIRED = 16
_MAX_UNCONFIRMED = 4
_MAX_SENDERS = 4096


class EnvelopeSealer:
    """Wraps and signs the messages of one VM.

    Args:
        vm: Name of the sender.
        incarnation: Incarnation of the sender.
        secret: HMAC secret.

    Attributes:
        sent_bytes: Total size of the sealed messages.
    """

    __slots__ = ("_incarnation", "_secret", "_sequence", "_vm", "sent_bytes")

    def __init__(self, *, vm: str, incarnation: str, secret: str):
        self._vm = vm
        self._incarnation = incarnation
        self._secret = secret
        self._sequence = 0
        self.sent_bytes = 0

    @property
    def last_request_id(self) -> str:
        """Id of the message sealed last, which its reply must contain."""
        return f"{self._incarnation}/{self._sequence}"

    def seal(
        self, *, kind: str, receiver: str, body: bytes, answers: str = ""
    ) -> bytes:
        """Returns the encoded, signed envelope of a message.

        Args:
            kind: Message type of the body.
            receiver: Name of the VM that the message is meant for.
            body: Encoded message.
            answers: Request id in a reply; empty in a request.
        """
        self._sequence += 1
        envelope = Envelope(
            kind=kind,
            sender=self._vm,
            receiver=receiver,
            incarnation=self._incarnation,
            sequence=self._sequence,
            body=body,
            answers=answers,
            signature=b"",
        )
        envelope.signature = _sign(self._secret, envelope)
        data = msgspec.msgpack.encode(envelope)
        self.sent_bytes += len(data)
        return data


class ReplayWindow:
    """Sliding window that detects repeated sequence numbers.

    Numbers may arrive in any order within the window; older ones count as
    repeated.
    """

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def accept(self, number: int) -> bool:
        """Records a number and returns whether it is new."""
        if number > self._highest:
            shift = min(_WINDOW_BITS, number - self._highest)
            mask = (1 << _WINDOW_BITS) - 1
            self._seen = ((self._seen << shift) | 1) & mask
            self._highest = number
            return True
        behind = self._highest - number
        if behind >= _WINDOW_BITS or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True


class _SenderState:
    """Replay state of one sender, by incarnation.

    A reply to a pending request confirms the sender's running incarnation.
    All others are then refused, so that replayed messages of an old
    incarnation cannot alternate with new ones. Until then each incarnation
    has its own window.
    """

    __slots__ = ("_retired", "_windows")

    def __init__(self) -> None:
        self._windows: collections.OrderedDict[str, ReplayWindow] = (
            collections.OrderedDict()
        )
        self._retired: collections.deque[str] = collections.deque(
            maxlen=_MAX_RETIRED
        )

    def accept(self, envelope: Envelope) -> bool:
        incarnation = envelope.incarnation
        if envelope.answers:
            self._confirm_incarnation(incarnation)
        elif incarnation in self._retired:
            return False
        window = self._windows.setdefault(incarnation, ReplayWindow())
        self._windows.move_to_end(incarnation)
        while len(self._windows) > _MAX_UNCONFIRMED:
            self._windows.popitem(last=False)
        return window.accept(envelope.sequence)

    def _confirm_incarnation(self, incarnation: str) -> None:
        for other in list(self._windows):
            if other != incarnation:
                del self._windows[other]
                self._retired.append(other)
        if incarnation in self._retired:
            self._retired.remove(incarnation)


class EnvelopeOpener:
    """Authenticates the messages that one VM receives.

    Args:
        vm: Name of the receiver.
        secrets: Accepted HMAC secrets.
        max_bytes: Largest accepted message, in bytes.

    Attributes:
        received_bytes: Total size of the messages, refused ones included.
    """

    __slots__ = (
        "_max_bytes",
        "_secrets",
        "_senders",
        "_vm",
        "received_bytes",
    )

    def __init__(self, *, vm: str, secrets: list[str], max_bytes: int):
        self._max_bytes = max_bytes
        self.received_bytes = 0
        self._secrets = secrets
        self._vm = vm
        self._senders: collections.OrderedDict[str, _SenderState] = (
            collections.OrderedDict()
        )

    def open(self, data: bytes, *, answers: str = "") -> Envelope:
        """Returns the envelope of an authentic message not seen before.

        Args:
            data: Bytes received.
            answers: Request id that a reply must contain; empty for a
                request.

        Raises:
            MessageError: The message is refused; the text is the reason.
        """
        self.received_bytes += len(data)
        if len(data) > self._max_bytes:
            raise MessageError("too_long")
        try:
            envelope = decode_msgpack(data, type=Envelope)
        except msgspec.MsgspecError as exc:
            raise MessageError("malformed") from exc
        if envelope.receiver != self._vm:
            raise MessageError("foreign")
        if not any(
            hmac.compare_digest(_sign(secret, envelope), envelope.signature)
            for secret in self._secrets
        ):
            raise MessageError("unauthenticated")
        if envelope.answers != answers:
            raise MessageError("unasked")
        if not self._sender(envelope.sender).accept(envelope):
            raise MessageError("replayed")
        return envelope

    def _sender(self, name: str) -> _SenderState:
        state = self._senders.setdefault(name, _SenderState())
        self._senders.move_to_end(name)
        while len(self._senders) > _MAX_SENDERS:
            self._senders.popitem(last=False)
        return state


def _sign(secret: str, envelope: Envelope) -> bytes:
    signed = msgspec.msgpack.encode(
        msgspec.structs.replace(envelope, signature=b"")
    )
    return hmac.new(secret.encode(), signed, hashlib.sha256).digest()
