import json
import signal
import socket
import subprocess
import sys

import pytest

from quetzalrudder import Session
from quetzalrudder.ctl import main as ctl
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.keys import digest_key
from quetzalrudder.schema.common import Ending
from standins.fleet import OPERATOR_KEY, ROOT, free_addresses
from tests.helpers import wait_for


def accepts_connections(address):
    host, port = address.split(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


@pytest.fixture
def daemon(tmp_path):
    """A daemon with an unreachable platform, and the socket that receives its metrics."""
    listen, control, platform = free_addresses(3)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd:
        statsd.bind(("127.0.0.1", 0))
        statsd.settimeout(10)
        path = tmp_path / "daemon.ini"
        path.write_text(
            f"[daemon]\ninstance = bern-a-1\ndata_centre = bern-a\nlisten = {listen}\n"
            f"control_listen = {control}\nplatform = {platform}\n"
            f"statsd = 127.0.0.1:{statsd.getsockname()[1]}\ndrain_s = 5\n"
            f"operator_key_digests = {digest_key(OPERATOR_KEY)}\n",
            encoding="utf-8",
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "quetzalrudder.daemon", str(path)],
            stderr=subprocess.PIPE,
            cwd=ROOT,
            env={"PYTHONPATH": f"{ROOT}/src"},
        )
        try:
            wait_for(lambda: accepts_connections(listen), "the daemon listens")
            yield process, listen, control, statsd
        finally:
            process.kill()
            process.communicate()


def test_unreachable_platform_is_reported_and_status_still_works(daemon, capsys):
    process, listen, control, _ = daemon
    assert ctl(["status", f"--control={control}", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["settings_revision"] == 0
    assert ctl(["settings", "history", f"--control={control}", "--json"]) == 1
    error = json.loads(capsys.readouterr().err)
    assert error["error"] == "platform_unavailable"
    assert error["place"]
    with Session(listen, "venues/hall-1", "key") as session:
        with pytest.raises(QuetzalrudderError) as raised:
            session.read("venues/calendar", "SELECT 1")
        assert raised.value.ending is Ending.NOT_RUN
    process.send_signal(signal.SIGTERM)
    _, stderr = process.communicate(timeout=20)
    assert process.returncode == 0
    messages = [json.loads(line)["message"] for line in stderr.splitlines()]
    assert "platform list failed" in messages
    assert messages[-1] == "stopped"


def test_metrics_reach_the_statsd_server(daemon):
    _, listen, _, statsd = daemon
    with Session(listen) as session, pytest.raises(QuetzalrudderError):
        session.read("venues/calendar", "SELECT 1")
    received = {statsd.recv(4096).decode().partition(":")[0] for _ in range(2)}
    assert "quetzalrudder.request" in received


def test_help_lists_every_command(capsys):
    assert ctl(["--help"]) == 0
    help_text = capsys.readouterr().out
    for command in ("settings apply", "workspace create", "key grant", "route add", "status"):
        assert f"  {command} " in help_text
    assert ctl([]) == 2
    assert ctl(["key", "grant", "--help"]) == 0
    assert "Path of the workspace" in capsys.readouterr().err
