"""Stores new register revisions in the platform."""

from typing import Any

import msgspec

from endivespindle.core.decoding import decode_json
from endivespindle.core.digests import canonical_json, sha256_hex
from endivespindle.core.findings import Finding
from endivespindle.core.ids import IdSource
from endivespindle.exceptions import (
    AnswerLostError,
    CheckError,
    ConflictError,
    PlatformUnavailableError,
)
from endivespindle.register.changes import changed_items
from endivespindle.register.checking import decode_register
from endivespindle.schema.generated.register import Register
from endivespindle.schema.generated.stored import RegisterRoot
from endivespindle.store.object_store import ObjectStore
from endivespindle.store.update import read_object

__all__ = [
    "REVISION_KIND",
    "ROOT_KIND",
    "ROOT_NAME",
    "apply_register",
    "read_register",
    "revision_name",
]

ROOT_KIND = "register"
ROOT_NAME = "root"
REVISION_KIND = "register-revision"

_NAME_DIGEST_LENGTH = 16
_MAX_RECENT_DIGESTS = 64
_MAX_ATTEMPTS = 20


def revision_name(root: RegisterRoot) -> str:
    """Returns the name of the object that contains a revision's bytes."""
    return f"{root.revision}-{root.digest[:_NAME_DIGEST_LENGTH]}"


async def apply_register(
    store: ObjectStore,
    *,
    document: Any,
    ids: IdSource,
    expect_revision: int | None = None,
) -> RegisterRoot:
    """Validates a register and makes it the active revision.

    The revision's bytes are written first, under a name that contains their
    digest. A conditional update of the root object then activates them.

    Args:
        store: The object API.
        document: Parsed TOML or JSON.
        ids: Source of write tokens.
        expect_revision: Revision that the operator's change is based on;
            None stands for the active one.

    Returns:
        The root object of the new revision.

    Raises:
        CheckError: The register is invalid, or another operator changed it
            first.
        PlatformUnavailableError: The platform is unavailable, or the outcome
            of a write is still unknown after the last attempt.
    """
    register = decode_register(document)
    body = canonical_json(msgspec.to_builtins(register))
    old, version = await read_object(
        store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
    )
    current = old.revision if old else 0
    if expect_revision is not None and expect_revision != current:
        raise await _conflict_error(store, expect_revision, old)
    if old is not None:
        await _check_immutable_settings(store, register)
    digest = sha256_hex(body)
    recent = old.recent_digests if old else []
    root = RegisterRoot(
        revision=current + 1,
        digest=digest,
        token=ids.new("c"),
        recent_digests=[digest, *recent][:_MAX_RECENT_DIGESTS],
    )
    await _write_revision(store, root, body)
    await _update_root(store, root, version)
    return root


async def read_register(
    store: ObjectStore,
) -> tuple[RegisterRoot, Register] | None:
    """Returns the active revision, or None before the first one."""
    root, _ = await read_object(
        store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
    )
    if root is None:
        return None
    obj = await store.get(kind=REVISION_KIND, name=revision_name(root))
    if obj is None or obj.value is None:
        return None
    return root, decode_json(obj.value, type=Register)


async def _check_immutable_settings(
    store: ObjectStore, register: Register
) -> None:
    """Checks the settings that may not change between revisions.

    Raises:
        CheckError: Such a setting differs from the active revision.
    """
    found = await read_register(store)
    if found is None:
        return
    current_window_s = found[1].rules.usage_window_s
    if register.rules.usage_window_s != current_window_s:
        message = (
            f"windows are numbered by it and open ones would be lost; "
            f"it stays {current_window_s}"
        )
        raise CheckError(
            [Finding(place="rules.usage_window_s", message=message)]
        )


async def _write_revision(
    store: ObjectStore, root: RegisterRoot, body: bytes
) -> None:
    name = revision_name(root)
    for _ in range(_MAX_ATTEMPTS):
        try:
            await store.put(
                kind=REVISION_KIND, name=name, value=body, expect_version=0
            )
        except ConflictError:
            return
        except AnswerLostError:
            continue
        return
    raise PlatformUnavailableError(
        f"{REVISION_KIND}/{name}: outcome of the write is unknown"
    )


async def _update_root(
    store: ObjectStore, root: RegisterRoot, version: int
) -> None:
    """Updates the root, or raises if another revision was stored instead.

    A write whose response was lost may still be in flight. It is retried
    with the same expected version until the root is seen to have changed.

    Raises:
        CheckError: Another operator stored a revision first.
        PlatformUnavailableError: The outcome is still unknown after the last
            attempt.
    """
    for _ in range(_MAX_ATTEMPTS):
        try:
            await store.put(
                kind=ROOT_KIND,
                name=ROOT_NAME,
                value=msgspec.json.encode(root),
                expect_version=version,
            )
        except (ConflictError, AnswerLostError):
            stored, stored_version = await read_object(
                store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
            )
            if stored_version == version:
                continue
            if stored is not None and _includes_revision(stored, root):
                return
            raise await _conflict_error(
                store, root.revision - 1, stored
            ) from None
        return
    raise PlatformUnavailableError(
        f"{ROOT_KIND}/{ROOT_NAME}: outcome of the write is unknown"
    )


def _includes_revision(stored: RegisterRoot, root: RegisterRoot) -> bool:
    """Returns whether a revision was stored, perhaps followed by others."""
    if stored.token == root.token:
        return True
    return _digest_of_revision(stored, root.revision) == root.digest


def _digest_of_revision(stored: RegisterRoot, revision: int) -> str:
    """Returns the digest of a revision, or "" if it is no longer listed."""
    index = stored.revision - revision
    if 0 <= index < len(stored.recent_digests):
        return stored.recent_digests[index]
    return ""


async def _conflict_error(
    store: ObjectStore, expected: int, stored: RegisterRoot | None
) -> CheckError:
    """Returns an error that lists what other operators changed."""
    current = stored.revision if stored else 0
    findings = [
        Finding(
            place="register",
            message=f"revision {current} is in force, not {expected}",
        )
    ]
    if stored is not None:
        new = await _read_revision(store, current, stored.digest)
        old = await _read_revision(
            store, expected, _digest_of_revision(stored, expected)
        )
        if old is not None and new is not None:
            findings += [
                Finding(place="register", message=f"since then: {change}")
                for change in changed_items(old, new)
            ]
    return CheckError(findings)


async def _read_revision(
    store: ObjectStore, revision: int, digest: str
) -> Register | None:
    if not digest:
        return None
    root = RegisterRoot(revision=revision, digest=digest, token="")
    obj = await store.get(kind=REVISION_KIND, name=revision_name(root))
    if obj is None or obj.value is None:
        return None
    return decode_json(obj.value, type=Register)
