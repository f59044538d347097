"""Payloads of samples kept on one VM until they are acknowledged."""

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

_DIGEST = re.compile(r"[0-9a-f]{64}")
_PARTIAL_SUFFIX = ".partial"
_MAX_AGE_S = 7200.0


class PayloadStore(abc.ABC):
    """Keeps payloads by digest, within a bound.

    A payload is dropped once it is acknowledged, or when it is so old that
    its sample cannot be wanted any more and space is needed.

    Args:
        max_bytes: Bytes kept at most.
        clock: Clock of this VM.
    """

    __slots__ = ("_clock", "_kept", "_max_bytes", "size_bytes")

    def __init__(self, *, max_bytes: int, clock: Clock):
        self._max_bytes = max_bytes
        self._clock = clock
        self._kept: dict[str, tuple[int, float]] = {}
        self.size_bytes = 0

    def put(self, digest: str, payload: bytes) -> bool:
        """Keeps a payload; tells whether it is whole and was kept."""
        if digest in self._kept:
            return True
        if sha256_hex(payload) != digest:
            return False
        if self.size_bytes + len(payload) > self._max_bytes:
            self._drop_old()
        if self.size_bytes + len(payload) > self._max_bytes:
            return False
        if not self._write(digest, payload):
            return False
        self._note(digest, len(payload))
        return True

    def get(self, digest: str) -> bytes | None:
        """Returns a payload, or None if it is not kept here whole."""
        if digest not in self._kept:
            return None
        payload = self._read(digest)
        if payload is None or sha256_hex(payload) != digest:
            self.drop([digest])
            return None
        return payload

    def drop(self, digests: list[str]) -> None:
        """Forgets payloads."""
        for digest in digests:
            kept = self._kept.pop(digest, None)
            if kept is not None:
                self.size_bytes -= kept[0]
                self._remove(digest)

    def _note(self, digest: str, length: int) -> None:
        self._kept[digest] = (length, self._clock.monotonic())
        self.size_bytes += length

    def _drop_old(self) -> None:
        oldest_s = self._clock.monotonic() - _MAX_AGE_S
        old = [d for d, (_, at_s) in self._kept.items() if at_s < oldest_s]
        self.drop(old)

    @abc.abstractmethod
    def _write(self, digest: str, payload: bytes) -> bool:
        """Keeps bytes; tells whether that worked."""

    @abc.abstractmethod
    def _read(self, digest: str) -> bytes | None:
        """Returns the bytes kept, or None if they cannot be read."""

    @abc.abstractmethod
    def _remove(self, digest: str) -> None:
        """Frees the space of a payload."""


class MemoryPayloadStore(PayloadStore):
    """Keeps payloads in memory; they are lost with the process."""

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
    """Keeps one file for each payload; they outlive the process.

    A file appears under its name only once it is whole, and is checked
    against its digest whenever it is read.

    Args:
        folder: Folder of the files, created if it is missing.
        max_bytes: Bytes kept at most.
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
            elif _DIGEST.fullmatch(path.name):
                self._note(path.name, path.stat().st_size)

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
    """Returns the store for a data folder; empty means in memory."""
    if not folder:
        return MemoryPayloadStore(max_bytes=max_bytes, clock=clock)
    return FolderPayloadStore(
        folder=pathlib.Path(folder) / "payloads",
        max_bytes=max_bytes,
        clock=clock,
    )
