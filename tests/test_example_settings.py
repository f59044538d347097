"""Example settings that a newcomer starts from."""

import pathlib

import pytest

from endivespindle.cli.files import load_settings

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/vm.toml")), ids=str)
def test_settings_are_sound(path):
    settings = load_settings(path)
    assert settings.vm.data_centre
