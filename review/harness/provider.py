"""The platform's promotion call on a loopback address."""

import threading
import time
from collections.abc import Callable

from harness.database import Service
from harness.record import Record
from harness.store import QuietServer, _Handler

__all__ = ["Provider"]


class _PromoteHandler(_Handler):
    def do_POST(self):  # noqa: N802
        body = self.body()
        token = int(self.headers["Fencing-Token"])
        self.answer(*self.server.provider.promote(body, self.headers["Holder"], token))


class Provider:
    """Promotes databases; a slow provider runs a call later, also if the caller has gone.

    Parameters
    ----------
    services : list of Service
        The services whose databases are promoted.
    record : Record
        Receives each call when it arrives and when it is run.
    """

    def __init__(self, services: list[Service], record: Record) -> None:
        self._services = {service.name: service for service in services}
        self._record = record
        # Returns for how many seconds a call that arrives now waits before it is run.
        self.delay_s: Callable[[], float] = lambda: 0.0
        self._http = QuietServer(("127.0.0.1", 0), _PromoteHandler)
        self._http.provider = self
        self.address = f"127.0.0.1:{self._http.server_address[1]}"
        threading.Thread(target=self._http.serve_forever, args=(0.1,), daemon=True).start()

    def promote(self, body: dict, holder: str, token: int) -> tuple[int, dict]:
        """Run a promotion call and return its answer."""
        call = {"service": body["service"], "id": body["id"], "holder": holder, "token": token}
        self._record.add("promote arrives", **call)
        if (delay_s := self.delay_s()) > 0:
            time.sleep(delay_s)
        status = self._services[body["service"]].promote(body["id"])
        self._record.add("promote runs", status=status, **call)
        return status, {}

    def close(self) -> None:
        """Stop the server."""
        self._http.shutdown()
        self._http.server_close()
