"""Opens the platform for one command."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp

from endivespindle.cli.files import load_settings
from endivespindle.schema.generated.settings import Settings
from endivespindle.store.http_client import HttpPlatform

__all__ = ["with_platform"]

T = TypeVar("T")


def with_platform(
    path: pathlib.Path,
    work: Callable[[HttpPlatform, Settings], Awaitable[T]],
) -> T:
    """Runs work against the platform that settings name.

    Args:
        path: TOML file of settings.
        work: Called with the platform and the settings.
    """
    settings = load_settings(path)

    async def run() -> T:
        async with aiohttp.ClientSession() as session:
            platform = HttpPlatform(
                session=session,
                base_url=settings.platform.base_url,
                credential=settings.platform.credential,
                call_timeout_s=settings.platform.call_timeout_s,
            )
            return await work(platform, settings)

    return asyncio.run(run())
