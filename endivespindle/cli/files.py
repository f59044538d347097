"""Reading and checking the files that commands take."""

import pathlib

from endivespindle.core.findings import Finding
from endivespindle.demo.load import read_toml
from endivespindle.exceptions import CheckError
from endivespindle.schema.checking import decode_document
from endivespindle.schema.generated.settings import Settings

__all__ = ["load_settings"]


def load_settings(path: pathlib.Path) -> Settings:
    """Returns the checked settings in a TOML file.

    Raises:
        CheckError: With every finding, each with its key path.
    """
    settings = decode_document(read_toml(path), schema="settings", cls=Settings)
    findings = _cross_check(settings)
    if findings:
        raise CheckError(findings)
    return settings


def _cross_check(settings: Settings) -> list[Finding]:
    """Returns what is wrong between settings."""
    findings = []
    listen = settings.listen
    if bool(listen.tls_certificate) != bool(listen.tls_key):
        findings.append(
            Finding(
                place="listen",
                message="tls_certificate and tls_key go together",
            )
        )
    if settings.peers.suspect_after_s >= settings.peers.dead_after_s:
        findings.append(
            Finding(
                place="peers.suspect_after_s",
                message="must be less than dead_after_s",
            )
        )
    return findings
