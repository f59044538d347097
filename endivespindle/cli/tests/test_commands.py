"""Every command's help, JSON and exit code."""

import json

import msgspec
import pytest

from endivespindle.cli.main import run
from endivespindle.cli.output import ExitCode
from endivespindle.schema.generated.stored import UsageLine
from endivespindle.usage.receipts import ReceiptRecorder
from endivespindle.usage.windows import build_report

COMMANDS = [
    "serve",
    "demo",
    "bench",
    "status",
    "explain",
    "version",
    "settings check",
    "register apply",
    "register show",
    "keys grant",
    "keys withdraw",
    "usage show",
    "usage verify",
]

SETTINGS = """
[vm]
name = "a-1"
data_centre = "ulaan"
host = "127.0.0.1"
[listen]
port = 1
peer_port = 2
[platform]
base_url = "http://127.0.0.1:9"
[peers]
secrets = ["0123456789abcdef0123"]
[keys]
hash_secret = "0123456789abcdef0123"
operator_token = "0123456789abcdef0123"
"""


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    return str(path)


@pytest.fixture
def reports(tmp_path):
    line = UsageLine(
        client_account="amber",
        service="s",
        outcome="ran",
        requests=1,
        prompt_tokens=2,
        output_tokens=3,
    )
    report = build_report(
        client_account="amber",
        window=7,
        window_s=60.0,
        lines=[line],
        previous_chain="",
    )
    path = tmp_path / "reports.json"
    path.write_bytes(msgspec.json.encode([report]))
    return path


def _write_receipts(folder, tokens):
    book = ReceiptRecorder(vm="a-1.x")
    book.add(
        window=7,
        client_account="amber",
        service="s",
        request_id="r-1",
        outcome="ran",
        prompt_tokens=2,
        output_tokens=tokens,
    )
    lines = [msgspec.json.encode(r) + b"\n" for r in book.pop_pending()]
    (folder / "a-1.jsonl").write_bytes(b"".join(lines))
    return str(folder)


@pytest.mark.parametrize("command", COMMANDS)
def test_help_says_what_a_command_does(command, capsys):
    assert run([*command.split(), "--help"]) == ExitCode.OK
    text = capsys.readouterr().out
    assert "Usage:" in text
    for flag in ("--settings", "--json"):
        for line in text.splitlines():
            if flag in line:
                assert line.split(flag)[1].strip(" │"), flag


def test_exit_code_of_a_wrong_command_line():
    assert run(["usage", "nothing"]) == ExitCode.USAGE
    assert run(["keys", "grant"]) == ExitCode.USAGE


@pytest.mark.parametrize(
    "command",
    ["status", "explain r-1", "register show", "keys grant a", "usage show a"],
)
def test_exit_code_when_nothing_can_be_reached(command, settings):
    args = [*command.split(), "--settings", settings]
    assert run(args) == ExitCode.UNREACHABLE


def test_exit_code_of_wrong_settings(tmp_path, settings, capsys):
    assert run(["settings", "check", settings]) == ExitCode.OK
    wrong = tmp_path / "wrong.toml"
    wrong.write_text(SETTINGS.replace("port = 1", "port = 99999"))
    args = ["settings", "check", str(wrong), "--json"]
    capsys.readouterr()
    assert run(args) == ExitCode.FOUND
    findings = json.loads(capsys.readouterr().out)
    assert findings[0]["place"] == "listen.port"


def test_verify_finds_a_changed_report(reports, capsys):
    assert run(["usage", "verify", str(reports)]) == ExitCode.OK
    text = reports.read_text()
    reports.write_text(text.replace('"output_tokens":3', '"output_tokens":4'))
    capsys.readouterr()
    args = ["usage", "verify", str(reports), "--json"]
    assert run(args) == ExitCode.FOUND
    assert json.loads(capsys.readouterr().out)


def test_verify_adds_up_receipts(reports, tmp_path, capsys):
    folder = tmp_path / "receipts"
    folder.mkdir()
    args = ["usage", "verify", str(reports), "--receipts", str(folder)]
    _write_receipts(folder, tokens=3)
    assert run(args) == ExitCode.OK
    _write_receipts(folder, tokens=2)
    assert run(args) == ExitCode.FOUND
    assert "3 output_tokens reported, 2 on receipts" in capsys.readouterr().err


def test_verify_finds_a_changed_receipt(reports, tmp_path):
    folder = tmp_path / "receipts"
    folder.mkdir()
    _write_receipts(folder, tokens=3)
    path = folder / "a-1.jsonl"
    path.write_text(path.read_text().replace('"r-1"', '"r-2"'))
    args = ["usage", "verify", str(reports), "--receipts", str(folder)]
    assert run(args) == ExitCode.FOUND
