"""A minimal relay, the baseline for the daemon's processor time.

It accepts the callers' protocol, forwards each statement to one target over the targets'
protocol, and returns the answer, all on one event loop and without any decision::

    python -m bench.relay --listen=127.0.0.1:7001 --target=127.0.0.1:7100
"""

import asyncio
import signal
from collections.abc import AsyncIterator

import fire
from grpclib.client import Channel
from grpclib.server import Server

from quetzalrudder.codec import CheckedCodec
from quetzalrudder.schema.caller import (
    Access,
    Answer,
    AnswerFrame,
    CallerBase,
    CallerFrame,
    Statement,
    Welcome,
)
from quetzalrudder.schema.target import Execute, Open, TargetAnswer, TargetFrame, TargetStub
from quetzalrudder.utils import Address, parse_address


class RelayService(CallerBase):
    """Opens one target connection for each caller connection."""

    def __init__(self, target: Address) -> None:
        self._target = target

    async def connect(self, messages: AsyncIterator[CallerFrame]) -> AsyncIterator[AnswerFrame]:
        """Relay the statements and answers of one caller connection."""
        channel = Channel(self._target.host, self._target.port, codec=CheckedCodec())
        outgoing: asyncio.Queue[TargetFrame] = asyncio.Queue()
        outgoing.put_nowait(TargetFrame(open=Open(instance="relay", data_centre="relay")))
        answers = TargetStub(channel).connect(_queued_frames(outgoing))
        try:
            await anext(answers)
            async for frame in messages:
                if frame.statement is None:
                    yield AnswerFrame(request_id=frame.request_id, welcome=Welcome())
                    continue
                outgoing.put_nowait(_to_target(frame.statement))
                yield _to_caller(frame.request_id, await anext(answers))
        finally:
            channel.close()


async def _queued_frames(frames: "asyncio.Queue[TargetFrame]") -> AsyncIterator[TargetFrame]:
    while True:
        yield await frames.get()


def _to_target(stmt: Statement) -> TargetFrame:
    write = stmt.access is Access.WRITE
    return TargetFrame(execute=Execute(sql=stmt.sql, params=stmt.params, write=write))


def _to_caller(request_id: str, answer: TargetAnswer) -> AnswerFrame:
    return AnswerFrame(request_id=request_id, answer=Answer(rows=answer.rows))


async def serve(listen: Address, target: Address) -> None:
    """Run the relay until SIGTERM."""
    server = Server([RelayService(target)], codec=CheckedCodec())
    await server.start(listen.host, listen.port)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    server.close()


def main(listen: str, target: str) -> None:
    """Parse the addresses and run the relay."""
    asyncio.run(serve(parse_address(listen), parse_address(target)))


if __name__ == "__main__":
    fire.Fire(main)
