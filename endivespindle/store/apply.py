"""Accepts a new register revision in the platform."""

from typing import Any

import msgspec

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

_DIGEST_LENGTH = 16
_RECENT_DIGESTS = 64
_MAX_TRIES = 20


def revision_name(root: RegisterRoot) -> str:
    """Returns the name of the object that holds a revision's bytes."""
    return f"{root.revision}-{root.digest[:_DIGEST_LENGTH]}"


async def apply_register(
    store: ObjectStore,
    *,
    document: Any,
    ids: IdSource,
    expect_revision: int | None = None,
) -> RegisterRoot:
    """Checks a register and makes it the revision in force.

    The revision's bytes are written first, under a name that holds their
    digest; the root object is then moved by conditional update.

    Args:
        store: The object API.
        document: Parsed TOML or JSON.
        ids: Source of writers' tokens.
        expect_revision: Revision that the operator started from; None takes
            the one in force.

    Returns:
        The root that names the new revision.

    Raises:
        CheckError: The register is wrong, or another operator was faster.
    """
    register = decode_register(document)
    body = canonical_json(msgspec.to_builtins(register))
    old, version = await read_object(
        store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
    )
    current = old.revision if old else 0
    if expect_revision is not None and expect_revision != current:
        raise await _overtaken(store, expect_revision, old)
    if old is not None:
        await _check_change(store, register)
    digest = sha256_hex(body)
    recent = old.recent_digests if old else []
    root = RegisterRoot(
        revision=current + 1,
        digest=digest,
        token=ids.new("c"),
        recent_digests=[digest, *recent][:_RECENT_DIGESTS],
    )
    await _write_body(store, root, body)
    await _move_root(store, root, version)
    return root


async def read_register(
    store: ObjectStore,
) -> tuple[RegisterRoot, Register] | None:
    """Returns the revision in force, or None before the first one."""
    root, _ = await read_object(
        store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
    )
    if root is None:
        return None
    obj = await store.get(kind=REVISION_KIND, name=revision_name(root))
    if obj is None or obj.value is None:
        return None
    return root, msgspec.json.decode(obj.value, type=Register)


async def _check_change(store: ObjectStore, register: Register) -> None:
    """Refuses what may not change between revisions.

    Raises:
        CheckError: With every finding.
    """
    found = await read_register(store)
    if found is None:
        return
    held_s = found[1].rules.usage_window_s
    if register.rules.usage_window_s != held_s:
        message = (
            f"windows are numbered by it and open ones would be lost; "
            f"it stays {held_s}"
        )
        raise CheckError(
            [Finding(place="rules.usage_window_s", message=message)]
        )


async def _write_body(
    store: ObjectStore, root: RegisterRoot, body: bytes
) -> None:
    name = revision_name(root)
    for _ in range(_MAX_TRIES):
        try:
            await store.put(
                kind=REVISION_KIND, name=name, value=body, expect_version=0
            )
        except ConflictError:
            return
        except AnswerLostError:
            continue
        return
    raise PlatformUnavailableError(f"{REVISION_KIND}/{name}: never settled")


async def _move_root(
    store: ObjectStore, root: RegisterRoot, version: int
) -> None:
    """Moves the root, or finds out for certain that another one stands.

    A write whose answer was lost may still be on its way: it is repeated
    under the same version until the root is seen to have moved.
    """
    for _ in range(_MAX_TRIES):
        try:
            await store.put(
                kind=ROOT_KIND,
                name=ROOT_NAME,
                value=msgspec.json.encode(root),
                expect_version=version,
            )
        except (ConflictError, AnswerLostError):
            held, held_version = await read_object(
                store, kind=ROOT_KIND, name=ROOT_NAME, cls=RegisterRoot
            )
            if held_version == version:
                continue
            if held is not None and _includes(held, root):
                return
            raise await _overtaken(store, root.revision - 1, held) from None
        return
    raise PlatformUnavailableError(f"{ROOT_KIND}/{ROOT_NAME}: never settled")


def _includes(held: RegisterRoot, root: RegisterRoot) -> bool:
    """Tells whether a revision was accepted, perhaps with others on top."""
    if held.token == root.token:
        return True
    return _digest_of(held, root.revision) == root.digest


def _digest_of(held: RegisterRoot, revision: int) -> str:
    """Returns the digest of a revision, or an empty text if it is too old."""
    index = held.revision - revision
    if 0 <= index < len(held.recent_digests):
        return held.recent_digests[index]
    return ""


async def _overtaken(
    store: ObjectStore, expected: int, held: RegisterRoot | None
) -> CheckError:
    """Returns the error that tells an operator what another one changed."""
    current = held.revision if held else 0
    findings = [
        Finding(
            place="register",
            message=f"revision {current} is in force, not {expected}",
        )
    ]
    if held is not None:
        new = await _read_revision(store, current, held.digest)
        old = await _read_revision(store, expected, _digest_of(held, expected))
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
    return msgspec.json.decode(obj.value, type=Register)
