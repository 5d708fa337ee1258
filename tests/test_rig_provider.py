"""Tests of the promotion call against a listening socket on loopback."""

import socket
import threading

import pytest
from result import Err, Ok
from rig.provider import ProviderClient

from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Address

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


def client_of(listener):
    return ProviderClient(lambda: Address("127.0.0.1", listener.getsockname()[1]))


def promote(listener, may_send=lambda: True, client=None):
    return (client or client_of(listener)).promote(
        "core", "db-2", coordinator="edge-1", fencing_token=7, may_send=may_send
    )


def test_a_call_is_not_sent_once_the_lease_has_lapsed_while_it_connected(listener):
    # A process that was frozen while it connected sent its call when it woke up.
    client = client_of(listener)
    result = promote(listener, lambda: False, client)
    assert isinstance(result, Err)
    assert result.err_value.ending is Ending.NOT_RUN
    listener.settimeout(1.0)
    conn, _ = listener.accept()
    conn.settimeout(0.2)
    with conn, pytest.raises(TimeoutError):
        conn.recv(1)


def test_the_lease_is_looked_at_after_the_connection_is_open(listener):
    accepted = []

    def may_send():
        accepted.append(listener.accept()[0])
        return False

    listener.settimeout(1.0)
    assert isinstance(promote(listener, may_send), Err)
    assert len(accepted) == 1
    accepted[0].close()


def test_a_call_is_sent_in_one_piece(listener):
    # A process that is frozen between two pieces would end its call when it wakes up.
    received = []

    def answer():
        conn, _ = listener.accept()
        with conn:
            received.append(conn.recv(65536))
            conn.sendall(ANSWER)

    answering = threading.Thread(target=answer)
    answering.start()
    assert promote(listener) == Ok(None)
    answering.join()
    head, _, body = received[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /promote HTTP/1.1\r\n")
    assert b"Fencing-Token: 7" in head
    assert body == b'{"service": "core", "id": "db-2"}'


def test_a_call_that_could_not_connect_has_not_run(listener):
    listener.close()
    client = ProviderClient(lambda: Address("127.0.0.1", 1))
    result = client.promote(
        "core", "db-2", coordinator="edge-1", fencing_token=7, may_send=lambda: True
    )
    assert result.err_value.ending is Ending.NOT_RUN


def test_a_call_without_an_answer_may_still_run(listener):
    def end_connection():
        conn, _ = listener.accept()
        conn.recv(65536)
        conn.close()

    ending = threading.Thread(target=end_connection)
    ending.start()
    result = promote(listener)
    ending.join()
    assert result.err_value.ending is Ending.UNKNOWN
