"""A straight relay with no decisions: what the daemon's processor time is compared with.

It takes the callers' protocol, passes each statement to one target over the targets'
protocol, and passes the answer back, all on one event loop::

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
    """Gives each caller connection one target connection."""

    def __init__(self, target: Address) -> None:
        self._target = target

    async def connect(self, messages: AsyncIterator[CallerFrame]) -> AsyncIterator[AnswerFrame]:
        """Relay one caller connection."""
        channel = Channel(self._target.host, self._target.port, codec=CheckedCodec())
        outgoing: asyncio.Queue[TargetFrame] = asyncio.Queue()
        outgoing.put_nowait(TargetFrame(open=Open(instance="relay", data_centre="relay")))
        answers = TargetStub(channel).connect(_drain(outgoing))
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


async def _drain(frames: "asyncio.Queue[TargetFrame]") -> AsyncIterator[TargetFrame]:
    while True:
        yield await frames.get()


def _to_target(stmt: Statement) -> TargetFrame:
    write = stmt.access is Access.WRITE
    return TargetFrame(execute=Execute(sql=stmt.sql, params=stmt.params, write=write))


def _to_caller(request_id: str, answer: TargetAnswer) -> AnswerFrame:
    return AnswerFrame(request_id=request_id, answer=Answer(rows=answer.rows))


async def serve(listen: Address, target: Address) -> None:
    """Relay until SIGTERM."""
    server = Server([RelayService(target)], codec=CheckedCodec())
    await server.start(listen.host, listen.port)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    server.close()


def main(listen: str, target: str) -> None:
    """Run the relay."""
    asyncio.run(serve(parse_address(listen), parse_address(target)))


if __name__ == "__main__":
    fire.Fire(main)
