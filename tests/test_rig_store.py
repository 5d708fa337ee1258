"""Tests of the store client against a scripted HTTP server on loopback."""

import base64
import json
import logging
import socket
import threading
from contextlib import suppress

import pytest
from result import Err, Ok
from rig.configuration import decode_catalog, decode_target
from rig.store_client import StoreClient

from quetzalrudder.exceptions import MalformedMessage, PlatformUnavailable
from quetzalrudder.gateway.records import (
    decode_coordinator,
    decode_member,
    decode_primary,
    decode_roster,
)
from quetzalrudder.gateway.store import HistoryGone, Item, LeaseEnded, WriteConflict
from quetzalrudder.utils import Address


class ScriptedServer:
    """Answers each request with the next (status, body), which an era may follow.

    None closes the connection.
    """

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.responses = []
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
                response = self.responses.pop(0)
                if response is None:
                    return
                status, content, *era = response
                raw = content if isinstance(content, bytes) else json.dumps(content or {}).encode()
                told = f"Store-Era: {era[0]}\r\n" if era else ""
                head = f"HTTP/1.1 {status} X\r\n{told}Content-Length: {len(raw)}\r\n\r\n"
                sock.sendall(head.encode() + raw)


@pytest.fixture
def server():
    scripted_server = ScriptedServer()
    yield scripted_server
    scripted_server.listener.close()


@pytest.fixture
def client(server):
    return StoreClient(lambda: server.address)


def b64(value):
    return base64.b64encode(value).decode()


def test_write_sends_the_expected_revision_and_returns_the_new_one(server, client):
    server.responses = [(200, {"rev": 12})]
    assert client.write("qr/a", b"x", 11, 5) == Ok(12)
    method, path, body = server.requests[0]
    assert (method, path) == ("POST", "/kv-txn")
    assert json.loads(body) == {
        "expect": [{"key": "qr/a", "rev": 11}],
        "puts": [{"key": "qr/a", "value": b64(b"x"), "lease": 5}],
        "deletes": [],
    }


def test_conflict_contains_the_current_items(server, client):
    item = {"key": "qr/a", "value": b64(b"y"), "rev": 9, "created": 2, "lease": 0}
    server.responses = [(412, {"items": [item]}), (412, {"items": [{"key": "qr/a", "rev": 0}]})]
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
def test_error_status_is_mapped_to_an_exception_type(server, client, status, kind):
    server.responses = [(status, {}), (status, b"")]
    for result in (client.renew_lease(7), client.watch(3, 10)):
        assert type(result.err_value) is kind


def test_call_after_a_lost_response_uses_a_new_connection(server, client):
    server.responses = [None, (200, {"ttlMs": 3000})]
    assert isinstance(client.renew_lease(7), Err)
    assert client.renew_lease(7) == Ok(None)


@pytest.mark.parametrize("body", ['{"rev":', "[]", '"x"'])
def test_undecodable_body_is_an_error(server, client, body):
    server.responses = [(200, body.encode())]
    result = client.write("qr/a", b"x", 1)
    assert isinstance(result, Err)


def test_all_pages_are_read_with_the_revision_of_the_first(server, client):
    page = [{"key": f"s/{n}", "value": b64(b"v"), "rev": n} for n in (1, 2)]
    last = [{"key": "s/3", "value": b64(b"v"), "rev": 9}]
    server.responses = [
        (200, {"items": page, "morePages": True, "currentRev": 5}),
        (200, {"items": last, "morePages": False, "currentRev": 9}),
    ]
    changes = client.read_prefix("s/").ok_value
    assert [item.key for item in changes.items] == ["s/1", "s/2", "s/3"]
    assert changes.revision == 5
    assert "after=s%2F2" in server.requests[1][1]


def test_deleted_key_has_no_value(server, client):
    events = [{"key": "s/1", "rev": 7, "deleted": True}]
    server.responses = [(200, {"events": events, "currentRev": 7})]
    assert client.watch(3, 10).ok_value.items == (Item("s/1", None, 7),)


@pytest.mark.parametrize("status", [200, 404, 410, 412, 429, 503])
def test_the_era_is_read_from_answers_of_every_status(server, client, status):
    # A return could go unseen for as long as the store refuses all calls.
    assert client.answered_era is None
    server.responses = [(status, {}, era) for era in (3, 4)]
    for era in (3, 4):
        client.renew_lease(7)
        assert client.answered_era == era


@pytest.mark.parametrize("told", ["", "x", "-1", "1.5", "²"])
def test_an_era_that_cannot_be_read_counts_as_none(server, client, told):
    server.responses = [(200, {}, told)]
    client.renew_lease(7)
    assert client.answered_era is None


GOOD_ITEM = {"key": "s/2", "value": b64(b"v"), "rev": 6, "created": 4}
UNREADABLE_PARTS = {
    "value not base64": {"value": "!"},
    "value without padding": {"value": "YQ"},
    "value in other letters": {"value": "\u0667"},
    "value in a list": {"value": ["YQ=="]},
    "number for a value": {"value": 7},
    "revision in a text": {"rev": "five"},
    "infinite revision": {"rev": float("inf")},
    "long revision": {"rev": 10**400},
    "negative revision": {"rev": -1},
    "no revision": {"rev": None},
    "creation in a list": {"created": []},
}


@pytest.mark.parametrize("parts", UNREADABLE_PARTS.values(), ids=UNREADABLE_PARTS)
@pytest.mark.parametrize("call", ["watch", "read"])
def test_an_item_that_cannot_be_read_does_not_hide_the_others(server, client, caplog, call, parts):
    odd = {"key": "s/1", "value": b64(b"v"), "rev": 5, "created": 5, **parts}
    items = [odd, GOOD_ITEM]
    server.responses = [(200, {"items": items, "events": items, "currentRev": 6})] * 2
    for _ in range(2):
        result = client.watch(3, 10) if call == "watch" else client.read_prefix("s/")
        unreadable, good = result.ok_value.items
        assert good == Item("s/2", b"v", 6, 4)
        assert unreadable.key == "s/1"
        # No record of any kind comes of it.
        for decode in (
            decode_target,
            decode_member,
            decode_roster,
            decode_primary,
            decode_coordinator,
            lambda item: decode_catalog(item.value),
        ):
            with pytest.raises(MalformedMessage):
                decode(unreadable)
    lines = [record for record in caplog.records if record.levelno == logging.ERROR]
    assert [(line.message, line.key) for line in lines] == [("store item unreadable", "s/1")]


def test_a_deletion_whose_revision_cannot_be_read_stays_one(server, client):
    events = [{"key": "s/1", "rev": "x", "deleted": True}, GOOD_ITEM]
    server.responses = [(200, {"events": events, "currentRev": 6})]
    assert client.watch(3, 10).ok_value.items == (Item("s/1", None, 6, 6), Item("s/2", b"v", 6, 4))


def test_a_key_that_cannot_be_sent_to_other_instances_is_left_out(server, client):
    odd = {**GOOD_ITEM, "key": "s/\ud800"}
    last = {**GOOD_ITEM, "key": "s/\uffff"}
    server.responses = [
        (200, {"items": [GOOD_ITEM, odd], "morePages": True, "currentRev": 6}),
        (200, {"items": [odd, last], "morePages": False, "currentRev": 6}),
        (200, {"items": [odd], "morePages": True, "currentRev": 6}),
    ]
    assert [item.key for item in client.read_prefix("s/").ok_value.items] == ["s/2", "s/\uffff"]
    assert isinstance(client.read_prefix("s/").err_value, MalformedMessage)


@pytest.mark.parametrize("odd", [{"rev": 5}, {"key": 7, "rev": 5}, "s/1", None])
def test_an_item_without_a_key_may_be_any_so_that_the_call_fails(server, client, odd):
    body = {"items": [odd, GOOD_ITEM], "events": [odd, GOOD_ITEM], "currentRev": 6}
    server.responses = [(200, body)] * 2
    assert isinstance(client.watch(3, 10).err_value, MalformedMessage)
    assert isinstance(client.read_prefix("s/").err_value, MalformedMessage)


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"currentRev": 1e999, "events": []}'])
def test_an_answer_that_cannot_be_read_is_a_failed_call(server, client, body):
    server.responses = [(200, body)]
    assert isinstance(client.watch(3, 10), Err)
