"""Exchange of the crashes that VMs know of, in both directions at once."""

import msgspec

from endivespindle.serving.crash_evidence import CrashEvidence, CrashRecord

__all__ = ["EvidenceExchange", "EvidenceMessage"]

# Maximum number of records in a message; a record takes some 100 bytes.
_MAX_RECORDS_PER_MESSAGE = 200
# Peers whose positions are kept; one that was forgotten gets all records again.
_MAX_PEERS = 4_000


class EvidenceMessage(msgspec.Struct, kw_only=True):
    """Changes that the receiver lacks, and what the sender has received.

    Attributes:
        epoch: Incarnation of the sender.
        since: Position in the sender's changes after which the records begin.
        position: Position up to which they reach.
        records: The changed records.
        received_epoch: Incarnation of the receiver that the sender knows.
        received: Position of the receiver's changes that the sender has
            received.
    """

    epoch: str
    since: int = 0
    position: int = 0
    records: list[CrashRecord] = []
    received_epoch: str = ""
    received: int = 0


class _Cursor:
    """Positions in the changes of this VM and of a peer."""

    __slots__ = ("acknowledged", "epoch", "received")

    def __init__(self, epoch: str):
        self.epoch = epoch
        self.received = 0
        self.acknowledged = 0


class EvidenceExchange:
    """Sends each change once to each peer, and again to one that restarted.

    Args:
        evidence: Crashes known to this VM.
        epoch: Incarnation of this VM.
    """

    __slots__ = ("_cursors", "_epoch", "_evidence")

    def __init__(self, *, evidence: CrashEvidence, epoch: str):
        self._evidence = evidence
        self._epoch = epoch
        self._cursors: dict[str, _Cursor] = {}

    @property
    def position(self) -> int:
        """Number of the last change known to this VM."""
        return self._evidence.position

    def message_to(self, peer: str) -> EvidenceMessage:
        """Returns the message that a peer is to receive next."""
        cursor = self._cursors.get(peer) or _Cursor("")
        records, position = self._evidence.changes_since(
            cursor.acknowledged, limit=_MAX_RECORDS_PER_MESSAGE
        )
        return EvidenceMessage(
            epoch=self._epoch,
            since=cursor.acknowledged,
            position=position,
            records=records,
            received_epoch=cursor.epoch,
            received=cursor.received,
        )

    def apply(self, peer: str, message: EvidenceMessage) -> None:
        """Applies a message from a peer."""
        cursor = self._cursors.get(peer)
        if cursor is None or cursor.epoch != message.epoch:
            self._cursors.pop(peer, None)
            if len(self._cursors) >= _MAX_PEERS:
                del self._cursors[next(iter(self._cursors))]
            cursor = self._cursors[peer] = _Cursor(message.epoch)
        self._evidence.merge(message.records)
        if message.since <= cursor.received:
            cursor.received = max(cursor.received, message.position)
        is_current = message.received_epoch == self._epoch
        cursor.acknowledged = message.received if is_current else 0
