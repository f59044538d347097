"""Storage for sample payloads of one VM until they are acknowledged."""

import abc
import contextlib
import os
import pathlib
import re

from endivespindle.core.clock import Clock
from endivespindle.core.digests import sha256_hex

__all__ = [
    "FolderPayloadStore",
    "MemoryPayloadStore",
    "PayloadStore",
    "open_payload_store",
]

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_PARTIAL_SUFFIX = ".partial"
_MAX_AGE_S = 7200.0


class PayloadStore(abc.ABC):
    """Stores payloads by digest, up to a size limit.

    A payload is deleted once its sample is acknowledged. When space is
    needed, payloads too old for their samples to be requested again are
    evicted.

    Args:
        max_bytes: Maximum total size of the payloads, in bytes.
        clock: Clock of this VM.

    Attributes:
        size_bytes: Total size of the stored payloads.
    """

    __slots__ = ("_clock", "_entries", "_max_bytes", "size_bytes")

    def __init__(self, *, max_bytes: int, clock: Clock):
        self._max_bytes = max_bytes
        self._clock = clock
        self._entries: dict[str, tuple[int, float]] = {}
        self.size_bytes = 0

    def put(self, digest: str, payload: bytes) -> bool:
        """Stores a payload if it matches its digest and fits.

        Returns:
            Whether the payload is stored.
        """
        if digest in self._entries:
            return True
        if sha256_hex(payload) != digest:
            return False
        if self.size_bytes + len(payload) > self._max_bytes:
            self._evict_old()
        if self.size_bytes + len(payload) > self._max_bytes:
            return False
        if not self._write(digest, payload):
            return False
        self._add_entry(digest, len(payload))
        return True

    def get(self, digest: str) -> bytes | None:
        """Returns a payload, or None if it is missing or corrupt."""
        if digest not in self._entries:
            return None
        payload = self._read(digest)
        if payload is None or sha256_hex(payload) != digest:
            self.drop([digest])
            return None
        return payload

    def drop(self, digests: list[str]) -> None:
        """Deletes payloads."""
        for digest in digests:
            entry = self._entries.pop(digest, None)
            if entry is not None:
                self.size_bytes -= entry[0]
                self._remove(digest)

    def _add_entry(self, digest: str, length: int) -> None:
        self._entries[digest] = (length, self._clock.monotonic())
        self.size_bytes += length

    def _evict_old(self) -> None:
        min_stored_s = self._clock.monotonic() - _MAX_AGE_S
        old = [
            d
            for d, (_, stored_s) in self._entries.items()
            if stored_s < min_stored_s
        ]
        self.drop(old)

    @abc.abstractmethod
    def _write(self, digest: str, payload: bytes) -> bool:
        """Writes a payload; returns whether that succeeded."""

    @abc.abstractmethod
    def _read(self, digest: str) -> bytes | None:
        """Returns a stored payload, or None if it cannot be read."""

    @abc.abstractmethod
    def _remove(self, digest: str) -> None:
        """Deletes the stored bytes of a payload."""


class MemoryPayloadStore(PayloadStore):
    """Stores payloads in memory; they do not survive a restart."""

    __slots__ = ("_payloads",)

    def __init__(self, *, max_bytes: int, clock: Clock):
        super().__init__(max_bytes=max_bytes, clock=clock)
        self._payloads: dict[str, bytes] = {}

    def _write(self, digest: str, payload: bytes) -> bool:
        self._payloads[digest] = payload
        return True

    def _read(self, digest: str) -> bytes | None:
        return self._payloads.get(digest)

    def _remove(self, digest: str) -> None:
        self._payloads.pop(digest, None)


class FolderPayloadStore(PayloadStore):
    """Stores each payload in a file; files survive a restart.

    A file is renamed to its final name only once it is complete, and is
    checked against its digest on every read.

    Args:
        folder: Folder of the files, created if it is missing.
        max_bytes: Maximum total size of the payloads, in bytes.
        clock: Clock of this VM.
    """

    __slots__ = ("_folder",)

    def __init__(self, *, folder: pathlib.Path, max_bytes: int, clock: Clock):
        super().__init__(max_bytes=max_bytes, clock=clock)
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        for path in folder.iterdir():
            if path.suffix == _PARTIAL_SUFFIX:
                path.unlink()
            elif _DIGEST_PATTERN.fullmatch(path.name):
                self._add_entry(path.name, path.stat().st_size)

    def _write(self, digest: str, payload: bytes) -> bool:
        partial = self._folder / (digest + _PARTIAL_SUFFIX)
        try:
            partial.write_bytes(payload)
            os.replace(partial, self._folder / digest)
        except OSError:
            with contextlib.suppress(OSError):
                partial.unlink()
            return False
        return True

    def _read(self, digest: str) -> bytes | None:
        try:
            return (self._folder / digest).read_bytes()
        except OSError:
            return None

    def _remove(self, digest: str) -> None:
        with contextlib.suppress(OSError):
            (self._folder / digest).unlink()


def open_payload_store(
    *, folder: str, max_bytes: int, clock: Clock
) -> PayloadStore:
    """Returns a store in a data folder, or in memory without one."""
    if not folder:
        return MemoryPayloadStore(max_bytes=max_bytes, clock=clock)
    return FolderPayloadStore(
        folder=pathlib.Path(folder) / "payloads",
        max_bytes=max_bytes,
        clock=clock,
    )
