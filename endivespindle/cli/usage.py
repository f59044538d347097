"""Shows and verifies usage reports."""

import pathlib

import cyclopts
import msgspec

from endivespindle.cli.output import ExitCode, print_findings, print_json
from endivespindle.cli.platform_session import with_platform
from endivespindle.core.decoding import decode_json
from endivespindle.core.findings import Finding
from endivespindle.exceptions import CheckError
from endivespindle.node.receipts import read_receipts
from endivespindle.node.usage_role import FREEZE_KIND
from endivespindle.schema.generated.settings import Settings
from endivespindle.schema.generated.stored import UsageReport, WindowFreeze
from endivespindle.store.http_client import HttpPlatform
from endivespindle.usage.receipts import check_receipts
from endivespindle.usage.verify import verify_reports

__all__ = ["app"]

app = cyclopts.App(name="usage", help="Show or verify usage reports.")


@app.command
def show(account: str, /, *, settings: pathlib.Path, json: bool = False) -> int:
    """Prints an account's reports, oldest window first.

    Args:
        account: Client account.
        settings: TOML file that says where the platform is.
        json: Print as JSON, in the form that `usage verify` reads.
    """

    async def work(platform: HttpPlatform, cfg: Settings) -> list[UsageReport]:
        del cfg
        listed = await platform.list_objects(kind=FREEZE_KIND)
        freezes = [
            decode_json(obj.value or b"", type=WindowFreeze)
            for obj in listed.objects
        ]
        return [
            report
            for freeze in sorted(freezes, key=lambda f: f.window)
            for report in freeze.reports
            if report.client_account == account
        ]

    reports = with_platform(settings, work)
    if json:
        print_json(reports)
        return ExitCode.OK
    for report in reports:
        print(f"window {report.window}  {report.start} to {report.end}")
        for line in report.lines:
            print(
                f"  {line.number:>3} {line.service:<20} {line.outcome:<8}"
                f" {line.requests:>8} requests {line.prompt_tokens:>10} in"
                f" {line.output_tokens:>10} out"
            )
    return ExitCode.OK


@app.command
def verify(
    file: pathlib.Path,
    /,
    *,
    receipts: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Checks an account's reports offline.

    Args:
        file: JSON file of reports, oldest window first.
        receipts: Folder of the account's receipts, collected from every VM;
            they must add up to the reports.
        json: Print findings as JSON.
    """
    try:
        reports = decode_json(file.read_bytes(), type=list[UsageReport])
    except (OSError, msgspec.DecodeError) as exc:
        finding = Finding(place=str(file), message=str(exc))
        raise CheckError([finding]) from exc
    findings = verify_reports(reports)
    if receipts is not None:
        findings += check_receipts(reports, read_receipts(receipts))
    print_findings(findings, as_json=json, source=str(file))
    if not findings and not json:
        print(f"{file}: {len(reports)} reports verified")
    return ExitCode.FOUND if findings else ExitCode.OK
