"""Validation of a register revision before it is accepted."""

import collections
from collections.abc import Iterable
from typing import Any

import msgspec

from endivespindle.core.findings import Finding
from endivespindle.exceptions import CheckError
from endivespindle.schema.checking import check_document
from endivespindle.schema.generated.register import (
    Register,
    ServiceKind,
)

__all__ = ["check_register", "decode_register"]


def decode_register(document: Any) -> Register:
    """Decodes and validates a register.

    Args:
        document: Parsed TOML or JSON.

    Raises:
        CheckError: The document or the register is invalid; contains every
            finding with its key path.
    """
    findings = check_document(document, schema="register")
    if findings:
        raise CheckError(findings)
    register = msgspec.convert(document, type=Register)
    findings = check_register(register)
    if findings:
        raise CheckError(findings)
    return register


def check_register(register: Register) -> list[Finding]:
    """Checks for duplicate names and invalid references in a register."""
    return sorted(
        [
            *_check_duplicates("data_centres", register.data_centres),
            *_check_duplicates("services", register.services),
            *_check_duplicates("backend_servers", register.backend_servers),
            *_check_duplicates("client_accounts", register.client_accounts),
            *_check_duplicates("trainers", register.trainers),
            *_check_servers(register),
            *_check_routes(register),
            *_check_trainers(register),
        ]
    )


def _check_duplicates(place: str, items: Iterable[Any]) -> list[Finding]:
    counts = collections.Counter(item.name for item in items)
    return [
        Finding(place=place, message=f"{name!r} stands {count} times")
        for name, count in counts.items()
        if count > 1
    ]


def _check_servers(register: Register) -> list[Finding]:
    services = {service.name for service in register.services}
    centres = {centre.name for centre in register.data_centres}
    findings = []
    for i, server in enumerate(register.backend_servers):
        place = f"backend_servers[{i}]"
        if server.service not in services:
            findings.append(
                _unknown_reference(f"{place}.service", server.service)
            )
        if server.data_centre not in centres:
            findings.append(
                _unknown_reference(f"{place}.data_centre", server.data_centre)
            )
    return findings


def _check_routes(register: Register) -> list[Finding]:
    kinds = {service.name: service.kind for service in register.services}
    findings = []
    seen: set[str] = set()
    for i, route in enumerate(register.routes):
        place = f"routes[{i}]"
        if route.service not in kinds:
            findings.append(
                _unknown_reference(f"{place}.service", route.service)
            )
        elif kinds[route.service] is not ServiceKind.PLAIN:
            findings.append(
                Finding(
                    place=f"{place}.service",
                    message="routes lead to plain services only",
                )
            )
        if route.prefix in seen:
            findings.append(
                Finding(place=f"{place}.prefix", message="stands twice")
            )
        seen.add(route.prefix)
    return findings


def _check_trainers(register: Register) -> list[Finding]:
    kinds = {service.name: service.kind for service in register.services}
    accounts = {account.name for account in register.client_accounts}
    findings = []
    for i, trainer in enumerate(register.trainers):
        place = f"trainers[{i}]"
        if kinds.get(trainer.service) is not ServiceKind.ENGINE:
            findings.append(
                Finding(
                    place=f"{place}.service",
                    message=f"{trainer.service!r} is no engine service",
                )
            )
        if trainer.client_account not in accounts:
            findings.append(
                _unknown_reference(
                    f"{place}.client_account", trainer.client_account
                )
            )
    return findings


def _unknown_reference(place: str, name: str) -> Finding:
    return Finding(place=place, message=f"{name!r} is not in the register")
