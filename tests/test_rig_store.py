"""The store's client against a scripted server on loopback."""

import base64
import json
import socket
import threading
from contextlib import suppress

import pytest
from result import Err, Ok
from rig.store_client import StoreClient

from quetzalrudder.exceptions import PlatformUnavailable
from quetzalrudder.gateway.store import HistoryGone, Item, LeaseEnded, WriteConflict
from quetzalrudder.utils import Address


class ScriptedServer:
    """Answers each request with the next (status, body); None closes without an answer."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.answers = []
        self.requests = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with suppress(ConnectionResetError), sock, sock.makefile("rb") as stream:
            while line := stream.readline():
                length = 0
                while (header := stream.readline().strip()) != b"":
                    name, _, value = header.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                body = stream.read(length)
                self.requests.append((line.split()[0].decode(), line.split()[1].decode(), body))
                answer = self.answers.pop(0)
                if answer is None:
                    return
                status, found = answer
                raw = found if isinstance(found, bytes) else json.dumps(found or {}).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(raw)}\r\n\r\n"
                sock.sendall(head.encode() + raw)


@pytest.fixture
def server():
    running = ScriptedServer()
    yield running
    running.listener.close()


@pytest.fixture
def client(server):
    return StoreClient(lambda: server.address)


def b64(value):
    return base64.b64encode(value).decode()


def test_write_expects_a_revision_and_gives_the_new_one(server, client):
    server.answers = [(200, {"rev": 12})]
    assert client.write("qr/a", b"x", 11, 5) == Ok(12)
    method, path, body = server.requests[0]
    assert (method, path) == ("POST", "/kv-txn")
    assert json.loads(body) == {
        "expect": [{"key": "qr/a", "rev": 11}],
        "puts": [{"key": "qr/a", "value": b64(b"x"), "lease": 5}],
        "deletes": [],
    }


def test_a_conflict_tells_the_keys_as_they_are(server, client):
    item = {"key": "qr/a", "value": b64(b"y"), "rev": 9, "created": 2, "lease": 0}
    server.answers = [(412, {"items": [item]}), (412, {"items": [{"key": "qr/a", "rev": 0}]})]
    result = client.write("qr/a", b"x", 8)
    assert isinstance(result.err_value, WriteConflict)
    assert result.err_value.current == (Item("qr/a", b"y", 9, 2),)
    assert client.write("qr/a", b"x", 8).err_value.current == (Item("qr/a", None, 0),)


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (404, LeaseEnded),
        (410, HistoryGone),
        (409, PlatformUnavailable),
        (429, PlatformUnavailable),
        (503, PlatformUnavailable),
    ],
)
def test_each_refusal_has_a_type(server, client, status, kind):
    server.answers = [(status, {}), (status, b"")]
    for result in (client.renew_lease(7), client.watch(3, 10)):
        assert type(result.err_value) is kind


def test_a_lost_answer_gives_the_connection_up_and_the_next_call_works(server, client):
    server.answers = [None, (200, {"ttlMs": 3000})]
    assert isinstance(client.renew_lease(7), Err)
    assert client.renew_lease(7) == Ok(None)


@pytest.mark.parametrize("body", ['{"rev":', "[]", '"x"'])
def test_a_body_that_cannot_be_read_is_a_failure(server, client, body):
    server.answers = [(200, body.encode())]
    result = client.write("qr/a", b"x", 1)
    assert isinstance(result, Err)


def test_pages_are_read_to_the_end_with_the_revision_of_the_first(server, client):
    page = [{"key": f"s/{n}", "value": b64(b"v"), "rev": n} for n in (1, 2)]
    last = [{"key": "s/3", "value": b64(b"v"), "rev": 9}]
    server.answers = [
        (200, {"items": page, "morePages": True, "currentRev": 5}),
        (200, {"items": last, "morePages": False, "currentRev": 9}),
    ]
    changes = client.read_prefix("s/").ok_value
    assert [item.key for item in changes.items] == ["s/1", "s/2", "s/3"]
    assert changes.revision == 5
    assert "after=s%2F2" in server.requests[1][1]


def test_deleted_keys_come_without_a_value(server, client):
    events = [{"key": "s/1", "rev": 7, "deleted": True}]
    server.answers = [(200, {"events": events, "currentRev": 7})]
    assert client.watch(3, 10).ok_value.items == (Item("s/1", None, 7),)
