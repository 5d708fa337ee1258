"""Order in which a process of the platform opens its listeners."""

import socket
from contextlib import ExitStack

import pytest
from rig import http_listener
from rig.process import EdgeProcess

from quetzalrudder.exceptions import BindFailed
from standins.fleet import free_addresses


class UnusedLogs:
    """Replaces ``BoundedLogs``, which a process that cannot start does not close."""


def test_no_readiness_is_served_while_the_callers_address_cannot_be_bound(tmp_path, monkeypatch):
    frontend, readiness, peers, unreachable = free_addresses(4)
    settings = tmp_path / "settings.conf"
    settings.write_text(
        f"nodeName=edge-1\nip=127.0.0.1\nzone=dc-0\nlisten.frontend={frontend}\n"
        f"listen.readiness={readiness}\nportRange={peers.split(':')[1]},{peers.split(':')[1]}\n"
        f"bounds.graceS=3\nplatform.addr={unreachable}\nprovider.addr={unreachable}\n",
        encoding="utf-8",
    )
    served = []
    monkeypatch.setattr(http_listener, "serve_pages", lambda address, *_: served.append(address))
    with ExitStack() as stack:
        other = stack.enter_context(socket.socket())
        host, port = frontend.split(":")
        other.bind((host, int(port)))
        other.listen()
        with pytest.raises(BindFailed):
            EdgeProcess(settings).run(UnusedLogs())
    assert served == []
