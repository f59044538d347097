"""Grants and withdraws tenant keys."""

import pathlib
import secrets

import cyclopts

from endivespindle.accounts.key_changes import (
    grant_key,
    key_id,
    withdraw_key,
)
from endivespindle.cli.output import ExitCode, print_json
from endivespindle.cli.platform_session import with_platform
from endivespindle.core.digests import keyed_hash
from endivespindle.core.ids import RandomIdSource
from endivespindle.schema.generated.settings import Settings
from endivespindle.schema.generated.stored import KeyState, KeyTableRoot
from endivespindle.store.http_client import HttpPlatform
from endivespindle.store.keys import change_keys

__all__ = ["app"]

app = cyclopts.App(name="keys", help="Grant or withdraw tenant keys.")

_KEY_BYTES = 24


@app.command
def grant(
    account: str, /, *, settings: pathlib.Path, json: bool = False
) -> int:
    """Makes a key for a client account and prints it once.

    Args:
        account: Client account.
        settings: TOML file that says where the platform is.
        json: Print the result as JSON.
    """
    key = f"ek-{secrets.token_urlsafe(_KEY_BYTES)}"

    async def work(platform: HttpPlatform, cfg: Settings) -> str:
        secret = cfg.keys.hash_secret
        change = grant_key(key=key, client_account=account, hash_secret=secret)
        await change_keys(platform, change=change, ids=RandomIdSource())
        return key_id(keyed_hash(secret, key))

    identity = with_platform(settings, work)
    if json:
        print_json({"key": key, "key_id": identity, "account": account})
    else:
        print(f"key    {key}\nkey id {identity}")
    return ExitCode.OK


@app.command
def withdraw(
    identity: str, /, *, settings: pathlib.Path, json: bool = False
) -> int:
    """Withdraws a key, everywhere within seconds.

    Args:
        identity: Key id, as `keys grant` printed it.
        settings: TOML file that says where the platform is.
        json: Print the result as JSON.
    """

    async def work(platform: HttpPlatform, cfg: Settings) -> KeyTableRoot:
        del cfg
        change = withdraw_key(key_hash_or_id=identity)
        return await change_keys(platform, change=change, ids=RandomIdSource())

    root = with_platform(settings, work)
    done = any(
        record.key_id == identity and record.state is KeyState.WITHDRAWN
        for record in root.keys
    )
    if json:
        print_json(
            {
                "key_id": identity,
                "withdrawn": done,
                "key_generation": root.generation,
            }
        )
    elif done:
        print(f"{identity}: withdrawn in key generation {root.generation}")
    else:
        print(f"{identity}: no such key")
    return ExitCode.OK if done else ExitCode.FOUND
