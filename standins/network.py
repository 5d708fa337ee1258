"""A stand-in for the network between data centres: relays that can be cut.

Each relay carries connections from instances of one data centre to one instance
of another. While a pair of data centres is cut, bytes are held back, not refused.
"""

import asyncio
import threading
from contextlib import suppress
from dataclasses import dataclass

from quetzalrudder.utils import Address

__all__ = ["Network", "Relay"]

CHUNK_BYTES = 65536
CUT_POLL_S = 0.02
START_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Relay:
    """One way into an instance."""

    from_data_centre: str
    to_data_centre: str
    listen: Address
    forward_to: Address


class Network:
    """Runs all relays on a loop of its own.

    Parameters
    ----------
    relays : list of Relay
        The ways between data centres.
    """

    def __init__(self, relays: list[Relay]) -> None:
        self._relays = relays
        self._cut: set[frozenset[str]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> "Network":
        self._thread.start()
        for relay in self._relays:
            started = asyncio.run_coroutine_threadsafe(self._start(relay), self._loop)
            started.result(START_TIMEOUT_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def cut(self, one: str, other: str) -> None:
        """Hold back everything between two data centres."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let everything pass again."""
        self._cut.clear()

    def is_cut(self, relay: Relay) -> bool:
        """Tell whether a relay holds everything back."""
        return frozenset((relay.from_data_centre, relay.to_data_centre)) in self._cut

    async def _start(self, relay: Relay) -> None:
        async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._carry(relay, reader, writer)

        await asyncio.start_server(carry, relay.listen.host, relay.listen.port)

    async def _carry(
        self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._wait_while_cut(relay)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                relay.forward_to.host, relay.forward_to.port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(relay, reader, far_writer), self._copy(relay, far_reader, writer)
        )

    async def _copy(
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
            await asyncio.sleep(CUT_POLL_S)
