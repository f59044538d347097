"""Applies and shows the register."""

import pathlib

import cyclopts
import msgspec

from endivespindle.cli.output import ExitCode, print_json
from endivespindle.cli.platform_session import with_platform
from endivespindle.core.ids import RandomIdSource
from endivespindle.demo.load import read_toml
from endivespindle.schema.generated.settings import Settings
from endivespindle.schema.generated.stored import RegisterRoot
from endivespindle.store.apply import apply_register, read_register
from endivespindle.store.http_client import HttpPlatform

__all__ = ["app"]

app = cyclopts.App(name="register", help="Apply or show the register.")


@app.command
def apply(
    file: pathlib.Path,
    /,
    *,
    settings: pathlib.Path,
    expect: int | None = None,
    json: bool = False,
) -> int:
    """Checks a register and puts it in force.

    Args:
        file: TOML file of the register.
        settings: TOML file that says where the platform is.
        expect: Revision you started from; refused if another is in force.
        json: Print the result as JSON.
    """
    document = read_toml(file)

    async def work(platform: HttpPlatform, cfg: Settings) -> RegisterRoot:
        del cfg
        return await apply_register(
            platform,
            document=document,
            ids=RandomIdSource(),
            expect_revision=expect,
        )

    root = with_platform(settings, work)
    if json:
        print_json(root)
    else:
        print(f"revision {root.revision} is in force")
    return ExitCode.OK


@app.command
def show(*, settings: pathlib.Path) -> int:
    """Prints the revision in force as JSON.

    Args:
        settings: TOML file that says where the platform is.
    """
    found = with_platform(settings, lambda platform, _: read_register(platform))
    if found is None:
        print("no register was applied yet")
        return ExitCode.FOUND
    root, register = found
    print_json(
        {"revision": root.revision, "register": msgspec.to_builtins(register)}
    )
    return ExitCode.OK
