"""Stores usage receipts as JSON lines under the data folder."""

import asyncio
import collections
import pathlib

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.schema.generated.stored import UsageReceipt
from endivespindle.usage.receipts import ReceiptRecorder

__all__ = ["ReceiptWriter", "read_receipts"]

_FOLDER = "receipts"


class ReceiptWriter:
    """Appends receipts to one file per client account, window and VM.

    Args:
        book: Receipts of this VM.
        folder: Data folder.
        vm: Name and incarnation of this VM.
    """

    __slots__ = ("_book", "_folder", "_vm")

    def __init__(self, *, book: ReceiptRecorder, folder: str, vm: str):
        self._book = book
        self._folder = pathlib.Path(folder) / _FOLDER
        self._vm = vm

    async def write(self) -> None:
        """Appends all pending receipts to their files.

        Raises:
            OSError: A file cannot be written.
        """
        receipts = self._book.pop_pending()
        if receipts:
            await asyncio.to_thread(self._append, receipts)

    def _append(self, receipts: list[UsageReceipt]) -> None:
        lines_by_path: dict[pathlib.Path, list[bytes]] = (
            collections.defaultdict(list)
        )
        for receipt in receipts:
            folder = self._folder / receipt.client_account / str(receipt.window)
            line = msgspec.json.encode(receipt) + b"\n"
            lines_by_path[folder / f"{self._vm}.jsonl"].append(line)
        for path, lines in lines_by_path.items():
            path.parent.mkdir(parents=True, exist_ok=True)
            with path.open("ab") as file:
                file.write(b"".join(lines))


def read_receipts(folder: pathlib.Path) -> list[UsageReceipt]:
    """Returns the receipts of all files below a folder."""
    return [
        decode_json(line, type=UsageReceipt)
        for path in sorted(folder.rglob("*.jsonl"))
        for line in path.read_bytes().splitlines()
    ]
