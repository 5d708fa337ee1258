"""``quetzalrudderd``: the daemon that runs one entry instance."""

import logging
import signal
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from quetzalrudder.daemon_settings import read_daemon_settings
from quetzalrudder.drain import DrainResult
from quetzalrudder.exceptions import BindFailed, InvalidSettings
from quetzalrudder.instance import Instance
from quetzalrudder.logs import configure_logging
from quetzalrudder.signals import SignalReceiver

__all__ = ["main"]

EXIT_OK = 0
SIGNAL_POLL_INTERVAL_S = 0.05
EXIT_FAILED = 1
EXIT_USAGE = 2
USAGE = "usage: quetzalrudderd SETTINGS.ini"

log = logging.getLogger(__name__)


def serve(instance: Instance) -> int:
    """Serve until SIGTERM or SIGINT, then drain, and return the exit code.

    A second signal ends the wait for open work.
    """
    with SignalReceiver([signal.SIGTERM, signal.SIGINT]) as signals:
        with instance:
            log.info("serving")
            signals.wait()
            drain_result = _drain(instance, signals)
        log.info(
            "stopped",
            extra={
                "connections_cut": drain_result.connections_cut,
                "requests_cut": drain_result.requests_cut,
            },
        )
    return EXIT_OK


def _drain(instance: Instance, signals: SignalReceiver) -> DrainResult:
    with ThreadPoolExecutor(1, "drain") as executor:
        fut = executor.submit(instance.drain)
        while not fut.done():
            if signals.wait(SIGNAL_POLL_INTERVAL_S) is not None:
                instance.cut_drain_short()
        return fut.result()


def main(argv: list[str] | None = None) -> int:
    """Run the daemon.

    Returns
    -------
    int
        0 after a shutdown or for ``--help``, 1 if an address cannot be listened on, 2 for wrong
        usage or settings.
    """
    args = sys.argv[1:] if argv is None else argv
    if len(args) != 1 or args[0].startswith("-"):
        print(USAGE, file=sys.stderr)
        return EXIT_OK if args[:1] in (["-h"], ["--help"]) else EXIT_USAGE
    configure_logging("info", instance="")
    try:
        cfg = read_daemon_settings(Path(args[0]))
    except InvalidSettings as exc:
        for error in getattr(exc, "errors", [exc]):
            log.error("invalid settings", extra={"place": error.place, "reason": error.message})
        return EXIT_USAGE
    configure_logging(cfg.log_level or "info", instance=cfg.instance)
    try:
        return serve(Instance(cfg))
    except BindFailed as exc:
        log.error("cannot listen", extra={"place": exc.place, "reason": exc.message})
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
