"""Software versions that served a service, beyond a restart of all VMs.

Parts of a stream that servers of two software versions wrote do not fit
together. A VM that has just started knows the servers that are there now and
none that left before, so that one known version does not prove that no other
one began a stream.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from endivespindle.serving.stream_origins import STREAM_MEMORY_S

__all__ = [
    "ServiceSoftware",
    "SoftwareHistory",
    "observe_software",
    "sole_software",
]


class ServiceSoftware(msgspec.Struct, kw_only=True, frozen=True):
    """Software versions of a service.

    Attributes:
        complete_since_unix_s: Unix time from which on all versions are listed.
        left_unix_s: By version, the Unix time from which on no server of it was
            known; None while there is one.
    """

    complete_since_unix_s: float
    left_unix_s: dict[str, float | None]


class SoftwareHistory(msgspec.Struct, kw_only=True, frozen=True):
    """Software versions by service, as kept in the store."""

    services: dict[str, ServiceSoftware] = {}
    token: str = ""


def observe_software(
    history: SoftwareHistory,
    *,
    present: Mapping[str, Iterable[str]],
    absent: Mapping[str, Iterable[str]],
    now_unix_s: float,
    is_first_start: bool,
) -> SoftwareHistory:
    """Returns a history that includes the software versions known now.

    Args:
        history: The history so far.
        present: Software versions of the servers that are known, by service.
        absent: Software versions without a known server for some time, by
            service; others in the history keep their state.
        now_unix_s: Unix time.
        is_first_start: Whether no stream can have begun before the start of
            this VM, so that a new service's history is complete.

    Returns:
        The same instance if nothing changed.
    """
    services = dict(history.services)
    complete_since_s = 0.0 if is_first_start else now_unix_s
    for service in {*present, *absent}:
        known = services.get(service)
        left = dict(known.left_unix_s) if known is not None else {}
        for software in absent.get(service, ()):
            if left.get(software, now_unix_s) is None:
                left[software] = now_unix_s
        left.update(dict.fromkeys(present.get(service, ()), None))
        left = {
            software: left_s
            for software, left_s in left.items()
            if _is_remembered(left_s, now_unix_s)
        }
        if known is not None and left == known.left_unix_s:
            continue
        if not left and known is None:
            continue
        services[service] = ServiceSoftware(
            complete_since_unix_s=(
                complete_since_s
                if known is None
                else known.complete_since_unix_s
            ),
            left_unix_s=left,
        )
    if services == history.services:
        return history
    return SoftwareHistory(services=services)


def sole_software(
    recorded: ServiceSoftware | None,
    *,
    known: Iterable[str],
    now_unix_s: float,
) -> str | None:
    """Returns the only software version that can have begun a stream.

    Load pattern: all gateways are killed during a release, and all callers take
    their streams up at once. Nobody remembers where these began.

    Args:
        recorded: What the store says of the service; None if nothing.
        known: Software versions that this VM knows of.
        now_unix_s: Unix time.

    Returns:
        None if there may have been several, or none is known.
    """
    if recorded is None:
        return None
    if now_unix_s - recorded.complete_since_unix_s < STREAM_MEMORY_S:
        return None
    versions = set(known) | {
        software
        for software, left_s in recorded.left_unix_s.items()
        if _is_remembered(left_s, now_unix_s)
    }
    return versions.pop() if len(versions) == 1 else None


def _is_remembered(left_unix_s: float | None, now_unix_s: float) -> bool:
    age_s = -math.inf if left_unix_s is None else now_unix_s - left_unix_s
    return age_s <= STREAM_MEMORY_S
