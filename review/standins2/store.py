"""The platform's store: keys with revisions, leases and watches, over HTTP/1.1."""

import base64
import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from socketserver import ThreadingTCPServer
from urllib.parse import parse_qs, urlparse

__all__ = ["Store"]

EXPIRY_INTERVAL_S = 0.02


@dataclass
class _Item:
    value: bytes
    rev: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl_s: float
    expires_at: float


class _Server(ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128
    store: "Store"

    def handle_error(self, request: object, client_address: object) -> None:
        """Pass over connections that were reset."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def _answer(self, status: int, body: dict) -> None:
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    def _body(self) -> dict:
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")

    def do_GET(self) -> None:  # noqa: N802
        """Answer a read or a watch."""
        url = urlparse(self.path)
        query = {key: found[0] for key, found in parse_qs(url.query, True).items()}
        self._answer(*self.server.store.get(url.path, query))

    def do_POST(self) -> None:  # noqa: N802
        """Answer a transaction or a call for a lease."""
        self._answer(*self.server.store.post(self.path, self._body()))

    def do_DELETE(self) -> None:  # noqa: N802
        """End a lease."""
        self._body()
        self._answer(*self.server.store.end_lease(int(self.path.rsplit("/", 1)[1])))


class Store:
    """The store; it loses nothing, and its answers are linearizable."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[dict] = []
        self._rev = 1
        self._next_lease = 1000
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.store = self
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key: str, value: dict) -> int:
        """Write a key as the operator or a database does."""
        with self._changed:
            return self._put(key, json.dumps(value).encode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            self._drop(key)

    def value(self, key: str) -> bytes:
        """Return the value of a key; empty if it does not exist."""
        with self._changed:
            item = self._items.get(key)
            return b"" if item is None else item.value

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        with self._changed:
            return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: bytes, lease: int) -> int:
        self._rev += 1
        known = self._items.get(key)
        created = self._rev if known is None else known.created
        self._items[key] = _Item(value, self._rev, created, lease)
        self._history.append(self._encoded(key))
        self._changed.notify_all()
        return self._rev

    def _drop(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._rev += 1
            self._history.append({"key": key, "rev": self._rev, "deleted": True})
            self._changed.notify_all()

    def _encoded(self, key: str) -> dict:
        item = self._items[key]
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "rev": item.rev,
            "created": item.created,
            "lease": item.lease,
        }

    def _expire(self) -> None:
        while True:
            time.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            with self._changed:
                for name in [n for n, lease in self._leases.items() if lease.expires_at <= now]:
                    self._end(name)

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self._drop(key)

    def get(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        """Answer a read or a watch."""
        if path == "/kv-watch":
            return self._watch(query.get("prefix", ""), int(query["after"]), int(query["waitMs"]))
        with self._changed:
            if path == "/kv-key":
                if query["key"] not in self._items:
                    return 404, {"currentRev": self._rev}
                return 200, self._encoded(query["key"]) | {"currentRev": self._rev}
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            items = [self._encoded(key) for key in keys]
            return 200, {"items": items, "morePages": False, "currentRev": self._rev}

    def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, dict]:
        until = time.monotonic() + wait_ms / 1000
        with self._changed:
            while True:
                events = [
                    event
                    for event in self._history
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                remaining_s = until - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "currentRev": self._rev}
                self._changed.wait(remaining_s)

    def post(self, path: str, body: dict) -> tuple[int, dict]:
        """Answer a transaction, or open or renew a lease."""
        now = time.monotonic()
        with self._changed:
            if path == "/kv-lease":
                self._next_lease += 1
                ttl_s = body["ttlMs"] / 1000
                self._leases[self._next_lease] = _Lease(ttl_s, now + ttl_s)
                return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}
            if path.startswith("/kv-keep/"):
                lease = self._leases.get(int(path.rsplit("/", 1)[1]))
                if lease is None:
                    return 404, {}
                lease.expires_at = now + lease.ttl_s
                return 200, {"ttlMs": round(lease.ttl_s * 1000)}
            return self._transact(body)

    def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body.get("expect", [])
        held = {row["key"]: self._items.get(row["key"]) for row in expected}
        if any((held[row["key"]].rev if held[row["key"]] else 0) != row["rev"] for row in expected):
            items = [
                self._encoded(key) if item is not None else {"key": key, "rev": 0}
                for key, item in held.items()
            ]
            return 412, {"items": items}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
        for key in body.get("deletes", []):
            self._drop(key)
        return 200, {"rev": self._rev}

    def end_lease(self, lease: int) -> tuple[int, dict]:
        """End a lease."""
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            self._end(lease)
            return 200, {}
