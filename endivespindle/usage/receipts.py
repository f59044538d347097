"""Receipts of single requests, chained by hash."""

import collections

import msgspec

from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.core.findings import Finding
from endivespindle.schema.generated.stored import UsageReceipt, UsageReport

__all__ = ["ReceiptRecorder", "check_receipts", "receipt_chain"]

_MAX_PENDING = 100_000


class ReceiptRecorder:
    """Makes one VM's receipts, a chain for each window and account.

    Args:
        vm: Name and incarnation of this VM.
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
        before = self._last.get((window, client_account))
        receipt = UsageReceipt(
            number=before.number + 1 if before else 1,
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
        receipt.chain = receipt_chain(receipt, before.chain if before else "")
        self._last[window, client_account] = receipt
        self._pending.append(receipt)

    def pop_pending(self) -> list[UsageReceipt]:
        """Returns the receipts not yet kept, and forgets them."""
        taken, self._pending = self._pending, []
        return taken

    def remove_before(self, window: int) -> None:
        """Drops the chains of older windows."""
        for key in [key for key in self._last if key[0] < window]:
            del self._last[key]


def receipt_chain(receipt: UsageReceipt, previous: str) -> str:
    """Returns the SHA-256 over a receipt and the chain value before it."""
    content = msgspec.structs.replace(receipt, chain=previous)
    return sha256_hex(canonical_json(msgspec.to_builtins(content)))


def check_receipts(
    reports: list[UsageReport], receipts: list[UsageReceipt]
) -> list[Finding]:
    """Returns where receipts are broken, or do not add up to the reports.

    Args:
        reports: Reports of one client account.
        receipts: Its receipts, of every VM that keeps them.
    """
    findings = _check_chains(receipts)
    counted = _sum_receipts(receipts)
    reported = _sum_reports(reports)
    for key in sorted(counted.keys() | reported.keys()):
        if counted[key] != reported[key]:
            window, service, outcome, figure = key
            findings.append(
                Finding(
                    place=f"window {window}, {service}, {outcome}",
                    message=(
                        f"{reported[key]} {figure} reported, "
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
        for at, receipt in enumerate(ordered, start=1):
            right = receipt_chain(receipt, previous)
            if receipt.number != at or receipt.chain != right:
                findings.append(
                    Finding(
                        place=f"{vm}, window {window}, receipt {at}",
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
            for figure in _COUNT_FIELDS:
                key = (window, line.service, line.outcome, figure)
                sums[key] += getattr(line, figure)
    return sums
