"""A stand-in of the platform's metadata store and of its promotion call, over HTTP/1.1."""

import base64
import itertools
import json
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from socketserver import ThreadingTCPServer
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = ["Store"]

ANSWER_S = 0.004
SWEEP_S = 0.02
SILENT_S = 10.0
OPERATOR_PREFIXES = ("op/", "servers/")


class Store:
    """Keys with revisions, leases and watches; it loses nothing that it has acknowledged.

    Parameters
    ----------
    promote : Callable
        Given the service, the id, the holder and the token of a promotion call; returns the status.
    """

    def __init__(self, promote: Callable[[str, str, str, int], int]) -> None:
        self.promote = promote
        self.changed = threading.Condition()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(100)
        # While it is, every call gets 503; leases run on and end.
        self.is_away = False
        # Given the body of a conditional write, how much later it is done, without an answer; None
        # for one that is done at once and answered.
        self.lateness_s: Callable[[dict], float | None] = lambda body: None
        # Called with the time at each sweep.
        self.on_sweep: list[Callable[[float], None]] = []
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.store = self
        self._stopped = threading.Event()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def start(self) -> None:
        """Serve calls and end leases until :meth:`close`."""
        threading.Thread(target=self._server.serve_forever, args=(0.1,), daemon=True).start()
        threading.Thread(target=self._sweep, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def put(self, key: str, value: dict | bytes) -> int:
        """Write a key as the operator or a database does; return its revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            return self._apply([{"key": key, "value": _encode(raw), "lease": 0}], [])

    def delete(self, key: str) -> None:
        """Delete a key, if it exists."""
        with self.changed:
            if key in self.items:
                self._apply([], [key])

    def _sweep(self) -> None:
        while not self._stopped.wait(SWEEP_S):
            now = time.monotonic()
            with self.changed:
                for lease in [name for name, (at, _) in self.leases.items() if at <= now]:
                    self.end_lease(lease)
            for function in self.on_sweep:
                function(now)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys; called with the lock."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    def _apply(self, puts: list[dict], deletes: list[str]) -> int:
        self.revision += 1
        for put in puts:
            known = self.items.get(put["key"])
            created = known["created"] if known else self.revision
            item = {
                "key": put["key"],
                "value": put["value"],
                "rev": self.revision,
                "created": created,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "rev": self.revision, "deleted": True})
        self.changed.notify_all()
        return self.revision

    def range(self, prefix: str) -> dict:
        """Return all items of a prefix."""
        with self.changed:
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
            return {"items": items, "morePages": False, "currentRev": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict | None:
        """Return the events after a revision, at the latest after some time; None if cut."""
        until = time.monotonic() + wait_s
        with self.changed:
            while not self.is_away:
                events = [
                    event
                    for event in self.history
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "currentRev": self.revision}
                self.changed.wait(min(left_s, 0.05))
        return None

    def transact(self, body: dict) -> tuple[int, dict]:
        """Run a conditional write."""
        with self.changed:
            expected = body.get("expect", [])
            if any(self._revision_of(row["key"]) != row["rev"] for row in expected):
                rows = [
                    self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in expected
                ]
                return 412, {"items": rows}
            leases = {put.get("lease", 0) for put in body.get("puts", [])} - {0}
            if any(lease not in self.leases for lease in leases):
                return 404, {}
            keys = [put["key"] for put in body.get("puts", [])] + body.get("deletes", [])
            if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
                return 403, {}
            return 200, {"rev": self._apply(body.get("puts", []), body.get("deletes", []))}

    def _revision_of(self, key: str) -> int:
        return self.items[key]["rev"] if key in self.items else 0

    def open_lease(self, ttl_ms: int) -> dict:
        """Open a lease."""
        with self.changed:
            lease = next(self._lease_ids)
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
            return {"lease": lease, "ttlMs": ttl_ms}

    def keep(self, lease: int) -> tuple[int, dict]:
        """Renew a lease."""
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": round(ttl_s * 1000)}


class _Server(ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    store: Store

    def handle_error(self, *_: object) -> None:
        """Pass over connections that an ending process has reset."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _Server

    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def _answer(self, status: int, body: dict) -> None:
        raw = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
        with suppress(OSError):
            self.wfile.write(f"{head}Content-Length: {len(raw)}\r\n\r\n".encode() + raw)

    def _stay_silent(self) -> None:
        """Return nothing more on this connection, which stays open until its caller goes."""
        self.close_connection = True
        self.connection.settimeout(SILENT_S)
        with suppress(OSError):
            self.rfile.read(1)

    def _serve(self) -> None:
        store = self.server.store
        raw = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        body = json.loads(raw) if raw else {}
        url = urlsplit(self.path)
        if url.path == "/promote":
            holder, token = self.headers["Holder"], int(self.headers["Fencing-Token"])
            self._answer(store.promote(body["service"], body["id"], holder, token), {})
            return
        time.sleep(ANSWER_S)
        if store.is_away:
            self._answer(503, {})
            return
        query = {key: values[0] for key, values in parse_qs(url.query, True).items()}
        match self.command, url.path:
            case "GET", "/kv-key":
                with store.changed:
                    item = store.items.get(query["key"])
                    current = {"currentRev": store.revision}
                self._answer(*((200, item | current) if item else (404, current)))
            case "GET", "/kv-range":
                self._answer(200, store.range(query.get("prefix", "")))
            case "GET", "/kv-watch":
                wait_s = int(query["waitMs"]) / 1000
                found = store.watch(query.get("prefix", ""), int(query["after"]), wait_s)
                self._answer(*((503, {}) if found is None else (200, found)))
            case "POST", "/kv-txn":
                late_s = store.lateness_s(body)
                if late_s is None:
                    self._answer(*store.transact(body))
                else:
                    threading.Timer(late_s, store.transact, (body,)).start()
                    self._stay_silent()
            case "POST", "/kv-lease":
                self._answer(200, store.open_lease(body["ttlMs"]))
            case "POST", path if path.startswith("/kv-keep/"):
                self._answer(*store.keep(int(unquote(path.rsplit("/", 1)[1]))))
            case "DELETE", path if path.startswith("/kv-lease-end/"):
                with store.changed:
                    store.end_lease(int(path.rsplit("/", 1)[1]))
                self._answer(200, {})
            case _:
                self._answer(404, {})

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
