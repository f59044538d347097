"""Offline verification of usage reports."""

from endivespindle.core.findings import Finding
from endivespindle.schema.generated.stored import UsageReport
from endivespindle.usage.windows import chain_value

__all__ = ["verify_reports"]


def verify_reports(reports: list[UsageReport]) -> list[Finding]:
    """Checks numbering and hash chain of one account's reports.

    Args:
        reports: Reports of one client account, in window order.
    """
    findings = []
    chain: str | None = None
    for report in reports:
        place = f"window {report.window}"
        if chain is not None and report.previous_chain != chain:
            findings.append(
                Finding(place=place, message="a report before it is missing")
            )
        findings.extend(_check_lines(report, place))
        chain = report.chain
    return findings


def _check_lines(report: UsageReport, place: str) -> list[Finding]:
    findings = []
    chain = report.previous_chain
    for position, line in enumerate(report.lines, start=1):
        where = f"{place}, line {line.number}"
        if line.number != position:
            findings.append(
                Finding(place=where, message=f"stands as line {position}")
            )
        chain = chain_value(
            line,
            client_account=report.client_account,
            window=report.window,
            previous=chain,
        )
        if chain != line.chain:
            findings.append(
                Finding(place=where, message="chain value does not match")
            )
            chain = line.chain
    if chain != report.chain:
        findings.append(
            Finding(place=place, message="last chain value does not match")
        )
    return findings
