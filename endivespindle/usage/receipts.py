"""Receipts of single requests, in hash chains."""

import collections

import msgspec

from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.core.findings import Finding
from endivespindle.schema.generated.stored import UsageReceipt, UsageReport

__all__ = ["ReceiptRecorder", "check_receipts", "receipt_chain"]

_MAX_PENDING = 100_000


class ReceiptRecorder:
    """Creates one VM's receipts, one hash chain per window and account.

    Args:
        vm: Name and incarnation of this VM.

    Attributes:
        dropped: Number of receipts dropped because too many were pending.
    """

    __slots__ = ("_last", "_pending", "_vm", "dropped")

    def __init__(self, *, vm: str):
        self._vm = vm
        self._last: dict[tuple[int, str], UsageReceipt] = {}
        self._pending: list[UsageReceipt] = []
        self.dropped = 0

    def add(
        self,
        *,
        window: int,
        client_account: str,
        service: str,
        request_id: str,
        outcome: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Adds a receipt to the chain of its window and account."""
        if len(self._pending) >= _MAX_PENDING:
            self.dropped += 1
            return
        previous = self._last.get((window, client_account))
        receipt = UsageReceipt(
            number=previous.number + 1 if previous else 1,
            vm=self._vm,
            window=window,
            client_account=client_account,
            service=service,
            request_id=request_id,
            outcome=outcome,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            chain="",
        )
        receipt.chain = receipt_chain(
            receipt, previous.chain if previous else ""
        )
        self._last[window, client_account] = receipt
        self._pending.append(receipt)

    def pop_pending(self) -> list[UsageReceipt]:
        """Returns and removes the receipts that are not written yet."""
        pending, self._pending = self._pending, []
        return pending

    def remove_before(self, window: int) -> None:
        """Drops the chains of older windows."""
        for key in [key for key in self._last if key[0] < window]:
            del self._last[key]


def receipt_chain(receipt: UsageReceipt, previous: str) -> str:
    """Returns the SHA-256 of a receipt and the previous chain value."""
    content = msgspec.structs.replace(receipt, chain=previous)
    return sha256_hex(canonical_json(msgspec.to_builtins(content)))


def check_receipts(
    reports: list[UsageReport], receipts: list[UsageReceipt]
) -> list[Finding]:
    """Checks the receipt chains and compares their sums with the reports.

    Args:
        reports: Reports of one client account.
        receipts: Receipts of the account from every VM.
    """
    findings = _check_chains(receipts)
    counted = _sum_receipts(receipts)
    reported = _sum_reports(reports)
    for key in sorted(counted.keys() | reported.keys()):
        if counted[key] != reported[key]:
            window, service, outcome, field = key
            findings.append(
                Finding(
                    place=f"window {window}, {service}, {outcome}",
                    message=(
                        f"{reported[key]} {field} reported, "
                        f"{counted[key]} on receipts"
                    ),
                )
            )
    return findings


_COUNT_FIELDS = ("requests", "prompt_tokens", "output_tokens")
_Totals = collections.Counter[tuple[int, str, str, str]]


def _check_chains(receipts: list[UsageReceipt]) -> list[Finding]:
    chains: dict[tuple[str, int], list[UsageReceipt]] = {}
    for receipt in receipts:
        chains.setdefault((receipt.vm, receipt.window), []).append(receipt)
    findings = []
    for (vm, window), chain in sorted(chains.items()):
        previous = ""
        ordered = sorted(chain, key=lambda receipt: receipt.number)
        for position, receipt in enumerate(ordered, start=1):
            expected_chain = receipt_chain(receipt, previous)
            if receipt.number != position or receipt.chain != expected_chain:
                findings.append(
                    Finding(
                        place=f"{vm}, window {window}, receipt {position}",
                        message="is missing or was changed",
                    )
                )
                break
            previous = receipt.chain
    return findings


def _sum_receipts(receipts: list[UsageReceipt]) -> _Totals:
    sums: _Totals = collections.Counter()
    for receipt in receipts:
        key = (receipt.window, receipt.service, receipt.outcome)
        sums[*key, "requests"] += 1
        sums[*key, "prompt_tokens"] += receipt.prompt_tokens
        sums[*key, "output_tokens"] += receipt.output_tokens
    return sums


def _sum_reports(reports: list[UsageReport]) -> _Totals:
    sums: _Totals = collections.Counter()
    for report in reports:
        for line in report.lines:
            window = report.window if line.corrects < 0 else line.corrects
            for field in _COUNT_FIELDS:
                key = (window, line.service, line.outcome, field)
                sums[key] += getattr(line, field)
    return sums
