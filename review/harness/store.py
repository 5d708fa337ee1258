"""The platform's metadata store on a loopback address."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

__all__ = ["MetadataStore", "QuietServer"]

PAGE_ITEMS = 500
LEASE_CHECK_INTERVAL_S = 0.02


class QuietServer(ThreadingHTTPServer):
    """An HTTP server that passes over connections which its clients reset."""

    daemon_threads = True
    request_queue_size = 128
    # How often the store has come back from a copy, from 1.
    era = 1

    def handle_error(self, request, client_address):
        """Do nothing."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        """Write no access log."""

    def answer(self, status, body):
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", str(self.server.era))
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)
        self.wfile.flush()

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def do_GET(self):  # noqa: N802
        if self.server.store.is_away:
            self.answer(503, {})
            return
        url = urlparse(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        store = self.server.store
        if url.path == "/kv-range":
            self.answer(200, store.read_range(query["prefix"], query.get("after", "")))
        elif url.path == "/kv-watch":
            wait_s = int(query["waitMs"]) / 1000
            self.answer(*store.watch(query["prefix"], int(query["after"]), wait_s))
        elif url.path == "/kv-key":
            found = store.read_range(query["key"], "")["items"]
            item = next((each for each in found if each["key"] == query["key"]), None)
            self.answer(200 if item else 404, {**(item or {}), "currentRev": store.revision})
        else:
            self.answer(404, {})

    def do_POST(self):  # noqa: N802
        body, store = self.body(), self.server.store
        if store.is_away:
            self.answer(503, {})
            return
        if self.path == "/kv-txn":
            self.answer(*store.transact(body))
        elif self.path == "/kv-lease":
            self.answer(200, store.open_lease(body["ttlMs"]))
        elif self.path.startswith("/kv-keep/"):
            self.answer(*store.keep_lease(int(self.path.rsplit("/", 1)[1])))
        else:
            self.answer(404, {})

    def do_DELETE(self):  # noqa: N802
        if self.server.store.is_away:
            self.answer(503, {})
            return
        self.answer(*self.server.store.end_lease(int(self.path.rsplit("/", 1)[1])))


class MetadataStore:
    """Keys with revisions and leases, linearizable, with its whole history."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self.revision = 1
        # Watches from before this revision get 410.
        self.oldest_watchable = 0
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._http = QuietServer(("127.0.0.1", 0), _Handler)
        self._http.store = self
        self.address = f"127.0.0.1:{self._http.server_address[1]}"
        self._closed = False
        # While it is away, each call gets 503.
        self.is_away = False
        threading.Thread(target=self._http.serve_forever, args=(0.1,), daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    def close(self) -> None:
        """Stop the server."""
        self._closed = True
        self._http.shutdown()
        self._http.server_close()

    def put(self, key: str, value: object) -> int:
        """Write a key as the operator or a database does; return its revision."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            return self._put(key, raw, 0)

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        with self._changed:
            if key in self._items:
                self._delete(key)

    def _put(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        created = self._items.get(key, {"created": self.revision})["created"]
        item = {"key": key, "value": value, "rev": self.revision, "created": created}
        self._items[key] = {**item, "lease": lease}
        self._history.append(self._items[key])
        self._changed.notify_all()
        return self.revision

    def _delete(self, key: str) -> None:
        self.revision += 1
        del self._items[key]
        self._history.append({"key": key, "rev": self.revision, "deleted": True})
        self._changed.notify_all()

    def read_range(self, prefix: str, after: str) -> dict:
        """Return a page of the items of a prefix."""
        with self._changed:
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return {"items": items, "morePages": more, "currentRev": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict]:
        """Return the changes after a revision, once there are any."""

        def changes() -> list[dict]:
            found = []
            for event in reversed(self._history):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            return found[::-1]

        with self._changed:
            era = self._http.era
            if after > self.revision or after < self.oldest_watchable:
                return 410, {}
            self._changed.wait_for(
                lambda: (
                    changes()
                    or self._closed
                    or self.is_away
                    or self._http.era != era
                    or after < self.oldest_watchable
                ),
                wait_s,
            )
            if self.is_away or self._http.era != era:
                return 503, {}
            if after < self.oldest_watchable:
                return 410, {}
            return 200, {"events": changes(), "currentRev": self.revision}

    def copy(self) -> dict:
        """Return a copy of all that the store has."""
        with self._changed:
            return {
                "revision": self.revision,
                "items": dict(self._items),
                "history": list(self._history),
                "leases": dict(self._leases),
            }

    def leave(self) -> None:
        """Answer nothing from now on."""
        with self._changed:
            self.is_away = True
            self._changed.notify_all()

    def come_back(self, copy: dict) -> None:
        """Answer again with what a copy has; what was written since it was made is gone.

        Leases that the copy has run anew; their numbers are not given out again.
        """
        now = time.monotonic()
        with self._changed:
            self.revision = copy["revision"]
            self._items, self._history = dict(copy["items"]), list(copy["history"])
            self._leases = {n: (ttl_s, now + ttl_s) for n, (ttl_s, _) in copy["leases"].items()}
            self._http.era += 1
            self.is_away = False
            self._changed.notify_all()

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction whole or not at all."""
        with self._changed:
            for row in body.get("expect", []):
                if self._items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                    items = [
                        self._items.get(each["key"], {"key": each["key"], "rev": 0})
                        for each in body["expect"]
                    ]
                    return 412, {"items": items}
            for put in body.get("puts", []):
                if put.get("lease") and put["lease"] not in self._leases:
                    return 404, {}
            for put in body.get("puts", []):
                self._put(put["key"], put["value"], put.get("lease") or 0)
            for key in body.get("deletes", []):
                if key in self._items:
                    self._delete(key)
            return 200, {"rev": self.revision}

    def open_lease(self, ttl_ms: int) -> dict:
        """Open a lease."""
        with self._changed:
            self.revision += 1
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return {"lease": lease, "ttlMs": ttl_ms}

    def keep_lease(self, lease: int) -> tuple[int, dict]:
        """Renew a lease."""
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttlMs": round(ttl_s * 1000)}

    def end_lease(self, lease: int) -> tuple[int, dict]:
        """End a lease and delete its keys."""
        with self._changed:
            if self._leases.pop(lease, None) is None:
                return 404, {}
            for key in [key for key, item in self._items.items() if item["lease"] == lease]:
                self._delete(key)
            return 200, {}

    def _expire(self) -> None:
        while not self._closed:
            time.sleep(LEASE_CHECK_INTERVAL_S)
            if self.is_away:
                continue
            now = time.monotonic()
            with self._changed:
                ended = [lease for lease, (_, until) in self._leases.items() if until <= now]
            for lease in ended:
                self.end_lease(lease)
