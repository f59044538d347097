"""Decoding of the platform's settings file."""

import pytest

from endivespindle.exceptions import CheckError
from endivespindle.platform.settings_file import decode_settings_file
from endivespindle.runtime.settings import NodeRole

SETTINGS = """
nodeName: "front-a-1"
role: "gateway"
machineClass: "front"
ip: "10.1.0.14"
zone: "a"
zones: {a: "r", b: "r"}
listenAddrs: {front: "10.1.0.14:8689", ready: "10.1.0.14:8687"}
portRange: [7360, 7375]
limits: {memoryMb: 300, newerField: 1}
timingBounds:
  {revokeMs: 4000, configApplyMs: 1500, strictRevoke: true, leaseMs: 3000}
platform: {address: "10.200.1.7:8688", writesPerS: 400, form: "objects"}
cloudApi: {address: "10.200.0.24:8688", duties: [usage_report]}
surprise: {deep: [1, 2]}
"""


def test_gateway_settings_are_decoded_in_seconds():
    cfg = decode_settings_file(SETTINGS.encode())
    assert cfg.role is NodeRole.GATEWAY
    assert str(cfg.callers) == "10.1.0.14:8689"
    assert cfg.timing.revoke_s == 4.0
    assert cfg.timing.config_apply_s == 1.5
    assert cfg.data_centres == ("a", "b")
    assert cfg.duties == ("usage_report",)


def test_vm_with_disk_is_a_controller_on_its_own_port():
    text = SETTINGS.replace('"front"', '"storage"').replace(
        'front: "10.1.0.14:8689", ready: "10.1.0.14:8687"', ""
    )
    cfg = decode_settings_file(text.encode())
    assert cfg.role is NodeRole.CONTROLLER
    assert (cfg.callers, cfg.peer_port) == (None, 7361)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "- 1",
        "nodeName: [",
        SETTINGS.replace("10.1.0.14:8689", "nowhere"),
        SETTINGS.replace('ip: "10.1.0.14"', ""),
        SETTINGS.replace("revokeMs: 4000", "revokeMs: soon"),
    ],
)
def test_malformed_file_raises_check_error(text):
    with pytest.raises(CheckError) as caught:
        decode_settings_file(text.encode())
    assert caught.value.findings
