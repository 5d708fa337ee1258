import asyncio
import json
import socket
import subprocess
import sys

import pytest
from grpclib.client import Channel
from grpclib.encoding.proto import ProtoCodec

from quetzalrudder.codec import MAX_MESSAGE_BYTES
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.schema.caller import CallerFrame, CallerStub, Hello, Statement
from quetzalrudder.schema.common import ErrorCode
from quetzalrudder.settings import parse_branches
from quetzalrudder.utils import parse_address
from standins.fleet import ROOT, free_addresses

VALID_SETTINGS = {
    "instance": "bern-a-1",
    "data_centre": "bern-a",
    "listen": "127.0.0.1:1",
    "control_listen": "127.0.0.1:2",
    "platform": "127.0.0.1:3",
}


def write_ini(path, settings):
    lines = [f"{key} = {value}" for key, value in settings.items()]
    path.write_text("\n".join(["[daemon]", *lines]), encoding="utf-8")
    return path


def run_daemon(path):
    result = subprocess.run(
        [sys.executable, "-m", "quetzalrudder.daemon", str(path)],
        capture_output=True,
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT}/src"},
        timeout=30,
        check=False,
    )
    return result.returncode, [json.loads(line) for line in result.stderr.splitlines()]


@pytest.mark.parametrize(
    ("change", "place", "reason"),
    [
        ({"colour": "red"}, "colour", "unknown setting"),
        ({"drain_s": "soon"}, "drain_s", "not a whole number"),
        ({"listen": "here"}, "listen", "not an IP address"),
        ({"platform": ""}, "platform", "missing"),
        ({"log_level": "loud"}, "log_level", "not one of"),
    ],
)
def test_daemon_with_invalid_settings_exits_2_before_it_listens(tmp_path, change, place, reason):
    code, lines = run_daemon(write_ini(tmp_path / "daemon.ini", {**VALID_SETTINGS, **change}))
    assert code == 2
    assert len(lines) == 1
    assert lines[0]["place"].endswith(place)
    assert "daemon.ini" in lines[0]["place"]
    assert lines[0]["reason"].startswith(reason)


def test_daemon_without_a_settings_file_exits_2(tmp_path):
    code, lines = run_daemon(tmp_path / "missing.ini")
    assert (code, lines[0]["message"]) == (2, "invalid settings")


def test_daemon_on_a_port_in_use_exits_1(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        listen, platform = free_addresses(2)
        cfg = {**VALID_SETTINGS, "listen": listen, "control_listen": address, "platform": platform}
        code, lines = run_daemon(write_ini(tmp_path / "daemon.ini", cfg))
    assert code == 1
    bind_errors = [line for line in lines if line["message"] == "cannot listen"]
    assert [line["place"] for line in bind_errors] == [address]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[root]\ncolour = red\n", "[root] colour: unknown setting"),
        ("[root]\nburst = many\n", "[root] burst: not a whole number"),
        ("[root]\nrate_per_s = -1\n", "[root] rate_per_s: out of range"),
        ("[root]\nrate_per_s = nan\n", "[root] rate_per_s: out of range"),
        ("[root]\nopen = perhaps\n", "[root] open: not true or false"),
        ("[route a/b]\n", "[route a/b]: parent [branch a] does not exist"),
        ("[team a]\n", "[team a]: unknown branch kind"),
        ("[root]\n[route a]\nkey_digests = 12\n", "key_digests: only workspaces have keys"),
        ("[root]\n[route a]\n[workspace a]\n", "[workspace a]: duplicate path"),
        ("[root]\n[root]\n", "already exists"),
        ("burst = 1\n", "no section headers"),
    ],
)
def test_each_settings_error_names_its_section_and_key(text, expected):
    with pytest.raises(InvalidSettings) as raised:
        parse_branches(text, "tree.ini")
    assert expected in str(raised.value)
    assert "tree.ini" in str(raised.value)


def test_all_errors_of_a_file_are_reported():
    with pytest.raises(InvalidSettings) as raised:
        parse_branches("[root]\na = 1\nb = 2\n[route x/y]\n")
    assert len(raised.value.errors) == 3


class RawCodec(ProtoCodec):
    def encode(self, message, message_type):
        return message


async def send_raw(address, payload):
    """Send one frame as raw bytes and return the first answer."""
    channel = Channel(address.host, address.port, codec=RawCodec())
    try:
        async for answer in CallerStub(channel).connect([payload]):
            return answer
    finally:
        channel.close()


@pytest.mark.parametrize(
    ("payload", "code"),
    [
        (b"\xff\xff\xff", ErrorCode.MALFORMED_MESSAGE),
        (bytes(CallerFrame(statement=Statement(sql="SELECT 1"))), ErrorCode.MALFORMED_MESSAGE),
        (
            bytes(CallerFrame(hello=Hello(workspace="x" * MAX_MESSAGE_BYTES))),
            ErrorCode.MESSAGE_TOO_LARGE,
        ),
        (
            bytes(CallerFrame(hello=Hello(workspace="steppe/branch-1", key="k"))),
            ErrorCode.UNAUTHENTICATED,
        ),
    ],
)
def test_invalid_messages_get_a_typed_error(fleet, payload, code):
    address = parse_address(fleet.instance_addresses["astana-a-1"])
    answer = asyncio.run(send_raw(address, payload))
    assert answer.failure.code is code
