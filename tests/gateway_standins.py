"""The platform's store and databases on loopback sockets, backed by the in-memory fakes."""

import base64
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from socketserver import ThreadingTCPServer
from urllib.parse import parse_qs, urlparse

from result import Err
from rig.wire import FAULT_BY_CODE, LETTER_BY_STATE, decode_position, decode_statement

from quetzalrudder.gateway.store import HistoryGone, LeaseEnded, WriteConflict
from quetzalrudder.models import RequestId
from quetzalrudder.utils import SystemClock
from tests.gateway_fakes import FakeGroup, MemoryStore

CODE_BY_FAULT = {fault: code for code, fault in FAULT_BY_CODE.items()}
WATCH_POLL_INTERVAL_S = 0.01


def encode_item(item):
    if item.value is None:
        return {"key": item.key, "rev": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": value, "rev": item.revision, "created": item.created}


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, body):
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(raw)))
        if self.server.client.answered_era is not None:
            self.send_header("Store-Era", str(self.server.client.answered_era))
        self.end_headers()
        self.wfile.write(raw)

    def body(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

    def is_away(self):
        """Answer 503 while the store is away, or to reads and watches while it fails those."""
        is_away = self.server.is_away or (self.server.fails_reads and self.command == "GET")
        if is_away:
            self.body()
            self.answer(503, {})
        return is_away

    def do_GET(self):  # noqa: N802
        if self.is_away():
            return
        url = urlparse(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        with self.server.lock:
            changes = self.server.client.read_prefix(query["prefix"]).ok_value
        if url.path == "/kv-range":
            items = [encode_item(item) for item in changes.items]
            body = {"items": items, "morePages": False, "currentRev": changes.revision}
            self.answer(200, body)
            return
        self.watch(int(query["after"]), int(query["waitMs"]))

    def watch(self, after, wait_ms):
        clock = self.server.clock
        deadline = clock.monotonic() + wait_ms / 1000
        while not self.is_away():
            with self.server.lock:
                result = self.server.client.watch(after, wait_ms)
            if isinstance(result, Err):
                assert isinstance(result.err_value, HistoryGone)
                self.answer(410, {})
                return
            if result.ok_value.items or clock.monotonic() >= deadline:
                events = [encode_item(item) for item in result.ok_value.items]
                self.answer(200, {"events": events, "currentRev": result.ok_value.revision})
                return
            clock.sleep(WATCH_POLL_INTERVAL_S)

    def do_POST(self):  # noqa: N802
        if self.is_away():
            return
        body = self.body()
        client = self.server.client
        with self.server.lock:
            if self.path == "/kv-lease":
                lease = client.open_lease(body["ttlMs"] / 1000).ok_value
                status, answer = 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            elif self.path.startswith("/kv-keep/"):
                renewed = client.renew_lease(int(self.path.rsplit("/", 1)[1]))
                status, answer = (404, {}) if isinstance(renewed, Err) else (200, {"ttlMs": 1})
            elif self.path == "/promote":
                promoted = self.server.group.promote(
                    body["service"],
                    body["id"],
                    coordinator=self.headers["Holder"],
                    fencing_token=int(self.headers["Fencing-Token"]),
                )
                status, answer = (409, {}) if isinstance(promoted, Err) else (200, {})
            else:
                status, answer = self.write_transaction(body)
        self.answer(status, answer)

    def write_transaction(self, body):
        client = self.server.client
        expected = body["expect"][0]["rev"]
        if body["deletes"]:
            result = client.delete(body["deletes"][0], expected)
        else:
            put = body["puts"][0]
            value = base64.b64decode(put["value"])
            result = client.write(put["key"], value, expected, put["lease"] or None)
        if not isinstance(result, Err):
            return 200, {"rev": result.ok_value}
        match result.err_value:
            case WriteConflict(current=current):
                items = [
                    encode_item(item) if item.value is not None else {"key": item.key, "rev": 0}
                    for item in current
                ]
                return 412, {"items": items}
            case LeaseEnded():
                return 404, {}

    def do_DELETE(self):  # noqa: N802
        if self.is_away():
            return
        with self.server.lock:
            self.server.client.end_lease(int(self.path.rsplit("/", 1)[1]))
        self.answer(200, {})


class StoreServer(ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    # While it is, each call gets 503.
    is_away = False
    # While it does, reads and watches get 503; writes and renewals of leases succeed.
    fails_reads = False

    def handle_error(self, request, client_address):
        """Pass over connections that an ending process has reset."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


def read_message(stream):
    """Return the next message without its CR LF; an empty string at the end of the stream."""
    message = b""
    while not message.endswith(b"\r\n"):
        piece = stream.readline()
        if not piece:
            return ""
        message += piece
    return message[:-2].decode("latin-1")


class DatabaseServer:
    """Serves the session protocol of one fake database."""

    def __init__(self, database, lock, may_run):
        self.database = database
        self.lock = lock
        self.may_run = may_run
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with sock, sock.makefile("rb") as stream:
            # A caller that ends may close a connection before its greeting.
            if not (greeting := read_message(stream)):
                return
            _, group, workspace, expected = greeting.split()
            assert (group, expected) == (self.database.info.group, self.database.info.target)
            with self.lock:
                opened = self.database.group.connect(self.database.info, workspace, 1.0)
            if isinstance(opened, Err):
                return
            link = opened.ok_value
            try:
                sock.sendall(b"READY I -\r\n")
                while line := read_message(stream):
                    if line == "QUIT":
                        break
                    answer = self.run(link, line)
                    if answer is None:
                        return
                    sock.sendall(answer.encode("latin-1"))
            except OSError:
                pass
            with self.lock:
                link.close()

    def run(self, link, line):
        """Return the answer to a line, or None if the database is down."""
        _, request_id, text = line.split(" ", 2)
        at_least = None
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
            at_least = decode_position(position)
        if text.startswith(("FETCH", "PUT", "EXEC", "COMMIT")):
            self.may_run.wait()
        with self.lock:
            if not self.database.up:
                return None
            if text.startswith("STEPDOWN "):
                link.step_down(int(text.split(" ")[1]), 1.0)
                text = "STATUS"
            if text == "STATUS":
                status = link.status(1.0).ok_value
                role = "primary" if status.primary else "replica"
                row = f"ROW {role} {status.term} {status.received} 0 0 0 1\r\n"
                return f"{row}DONE -\r\nREADY I {status.received}\r\n"
            if text == "RESET":
                reply = link.reset(1.0).ok_value
            else:
                statement = decode_statement(text)
                reply = link.run(RequestId(request_id), statement, 1.0, at_least).ok_value
            self.database.group.replicate()
        ready = f"READY {LETTER_BY_STATE[reply.state]} {reply.position}\r\n"
        if reply.fault is not None:
            return f"ERR {CODE_BY_FAULT[reply.fault]} stand-in\r\n{ready}"
        rows = "".join(f"ROW {row}\r\n" for row in reply.rows)
        return f"{rows}DONE {reply.signature}\r\n{ready}"


class PlatformStandIn:
    """The platform: its store, and a group of three databases."""

    def __init__(self, config, store_era=None):
        clock = SystemClock()
        self.lock = threading.RLock()
        # Statements wait at the databases while it is not set.
        self.may_run = threading.Event()
        self.may_run.set()
        self.group = FakeGroup(clock, group="core")
        self.store = MemoryStore(clock)
        self.store.era = store_era
        self.databases = [
            DatabaseServer(database, self.lock, self.may_run)
            for database in self.group.databases.values()
        ]
        self.config = config
        self.announce()
        self.put("op/config", config)
        self.http = StoreServer(("127.0.0.1", 0), StoreHandler)
        self.http.lock, self.http.clock = self.lock, clock
        self.http.group, self.http.client = self.group, self.store.client()
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.http.server_address[1]}"

    def announce(self, draining=None):
        """Write the databases' announcements; one of them may be draining."""
        for server in self.databases:
            info = server.database.info
            entry = {
                "service": "core",
                "addr": f"127.0.0.1:{server.port}",
                "zone": info.data_centre,
                "slots": 3,
                "state": "draining" if info.target == draining else "ready",
                "dbRole": "primary" if server.database.primary else "replica",
            }
            self.put(f"servers/{info.target}", entry)

    def put(self, key, value):
        with self.lock:
            self.store.put(key, json.dumps(value).encode(), None)

    def return_store(self, copied, away_s):
        """Let the store be away, and come back with a copy and what others write again."""
        self.http.is_away = True
        time.sleep(away_s)
        with self.lock:
            self.store.come_back(copied)
            self.put("op/config", self.config)
            self.announce()
        self.http.is_away = False

    def items(self, prefix):
        with self.lock:
            return [item for key, item in self.store.items.items() if key.startswith(prefix)]

    def close(self):
        self.http.shutdown()
        self.http.server_close()
        for server in self.databases:
            server.listener.close()
