"""A stand-in for the network between data centres: TCP relays that can be blocked.

Each relay forwards connections from the instances of one data centre to one instance of
another. While two data centres are cut off from each other, the relays hold bytes back
and refuse no connection.
"""

import asyncio
import threading
from contextlib import suppress
from dataclasses import dataclass

from quetzalrudder.utils import Address

__all__ = ["Network", "Relay"]

CHUNK_BYTES = 65536
CUT_POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Relay:
    """A relay from one data centre to one instance of another."""

    from_data_centre: str
    to_data_centre: str
    listen: Address
    forward_to: Address


class Network:
    """Runs all relays on its own event loop.

    Parameters
    ----------
    relays : list of Relay
        Relays between data centres.
    """

    def __init__(self, relays: list[Relay]) -> None:
        self._relays = relays
        self._cut: set[frozenset[str]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> "Network":
        self._thread.start()
        for relay in self._relays:
            started = asyncio.run_coroutine_threadsafe(self._start_relay(relay), self._loop)
            started.result(START_TIMEOUT_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def cut(self, one: str, other: str) -> None:
        """Block all traffic between two data centres."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Unblock all traffic."""
        self._cut.clear()

    def is_cut(self, relay: Relay) -> bool:
        """Return whether a relay is blocked."""
        return frozenset((relay.from_data_centre, relay.to_data_centre)) in self._cut

    async def _start_relay(self, relay: Relay) -> None:
        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._forward(relay, reader, writer)

        await asyncio.start_server(on_connection, relay.listen.host, relay.listen.port)

    async def _forward(
        self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._wait_while_cut(relay)
        try:
            instance_reader, instance_writer = await asyncio.open_connection(
                relay.forward_to.host, relay.forward_to.port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy_bytes(relay, reader, instance_writer),
            self._copy_bytes(relay, instance_reader, writer),
        )

    async def _copy_bytes(
        self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_while_cut(relay)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _wait_while_cut(self, relay: Relay) -> None:
        while self.is_cut(relay):
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
