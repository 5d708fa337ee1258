"""Processor time per statement through one instance, against a straight relay.

One target, one instance and one relay as processes on loopback; the same statements go
through either. Times are printed; what is bounded is their ratio within one run.
"""

import asyncio
import statistics
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import ExitStack
from dataclasses import dataclass

from grpclib.client import Channel

from bench.measures import Measurement
from bench.processes import cpu_time_s
from quetzalrudder.codec import CheckedCodec
from quetzalrudder.schema.caller import Access, CallerFrame, CallerStub, Hello, Statement
from quetzalrudder.schema.common import Value
from quetzalrudder.utils import Address, parse_address
from standins.deployments import Deployment
from standins.fleet import ROOT, Fleet, free_addresses

__all__ = ["ONE_INSTANCE", "SETTINGS", "drive", "run"]

CONNECTIONS = 4
STATEMENTS = 600
WARM_UP_STATEMENTS = 60
ROUNDS = 3
WORKSPACE = "steppe/branch-1"
ROUTE = "steppe/offers"

ONE_INSTANCE = Deployment(
    name="speed",
    data_centres=("astana-a",),
    groups=("valuation-core-1",),
    databases_per_group=1,
    slots=64,
    connection_limit=64,
    workspaces=(WORKSPACE,),
    instances_per_data_centre=1,
)

SETTINGS = f"""
[root]
deadline_ms = 10000
rate_per_s = 1000000
burst = 1000000

[branch steppe]
group = valuation-core-1

[route {ROUTE}]

[workspace {WORKSPACE}]
"""


@dataclass
class Caller:
    """One connection that sends statements one after the other."""

    address: Address
    key: str
    access: Access

    async def run(self, count: int) -> None:
        """Send statements and wait for each answer."""
        channel = Channel(self.address.host, self.address.port, codec=CheckedCodec())
        turns: asyncio.Queue[int | None] = asyncio.Queue()
        answers = CallerStub(channel).connect(self._frames(turns))
        try:
            await anext(answers)
            for n in range(count):
                turns.put_nowait(n)
                answer = await anext(answers)
                if answer.answer is None:
                    raise RuntimeError(f"a statement failed: {answer.failure}")
            turns.put_nowait(None)
            async for _ in answers:
                pass
        finally:
            channel.close()

    async def _frames(self, turns: "asyncio.Queue[int | None]") -> AsyncIterator[CallerFrame]:
        hello = Hello(workspace=WORKSPACE, key=self.key)
        yield CallerFrame(request_id="hello", hello=hello)
        while (n := await turns.get()) is not None:
            stmt = Statement(
                route=ROUTE,
                sql="SELECT ?, ? AS price",
                params=[Value(text="01 KZ 777"), Value(integer=4_100_000 + n)],
                access=self.access,
                deadline_ms=10_000,
            )
            yield CallerFrame(request_id=f"{id(self)}-{n}", statement=stmt)


def drive(address: str, key: str, count: int, access: Access = Access.READ) -> float:
    """Send statements over a few connections at once; gives the seconds that it took."""
    callers = [Caller(parse_address(address), key, access) for _ in range(CONNECTIONS)]

    async def run_all() -> None:
        await asyncio.gather(*(caller.run(count // CONNECTIONS) for caller in callers))

    started = time.monotonic()
    asyncio.run(run_all())
    return time.monotonic() - started


@dataclass(frozen=True)
class Cost:
    """What statements through one process took."""

    processor_us: float
    per_s: float


def _measure(address: str, pid: int, key: str) -> Cost:
    drive(address, key, WARM_UP_STATEMENTS)
    before = cpu_time_s(pid)
    elapsed_s = drive(address, key, STATEMENTS)
    used_s = cpu_time_s(pid) - before
    return Cost(used_s / STATEMENTS * 1_000_000, STATEMENTS / elapsed_s)


def _start_relay(stack: ExitStack, target: str) -> tuple[str, int]:
    listen = free_addresses(1)[0]
    args = [sys.executable, "-m", "bench.relay", f"--listen={listen}", f"--target={target}"]
    process = subprocess.Popen(args, cwd=ROOT, env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"})
    stack.callback(process.wait)
    stack.callback(process.kill)
    return listen, process.pid


def run() -> list[Measurement]:
    """Measure both, in turns; the middle of the rounds counts."""
    with ExitStack() as stack:
        fleet = stack.enter_context(Fleet(ONE_INSTANCE, SETTINGS))
        target = fleet.target_addresses["valuation-core-1-a"]
        relay_address, relay_pid = _start_relay(stack, target)
        fleet.wait_for_ports([relay_address])
        instance = next(iter(fleet.instance_addresses))
        key = fleet.operator(instance).grant_key(WORKSPACE)
        daemon = fleet.instance_addresses[instance]
        relayed, passed = [], []
        for _ in range(ROUNDS):
            relayed.append(_measure(relay_address, relay_pid, ""))
            passed.append(_measure(daemon, fleet.pid(instance), key))
    return _measures(passed, relayed)


def _measures(passed: list[Cost], relayed: list[Cost]) -> list[Measurement]:
    measures = []
    for variant, costs in (("product", passed), ("relay", relayed)):
        cpu = statistics.median(cost.processor_us for cost in costs)
        per_s = statistics.median(cost.per_s for cost in costs)
        measures += [
            Measurement("speed.processor", "read", variant, cpu, "us/statement"),
            Measurement("speed.one_core", "read", variant, 1_000_000 / cpu, "statements/s"),
            Measurement("speed.throughput", "read, 4 connections", variant, per_s, "statements/s"),
        ]
    ratio = statistics.median(
        ours.processor_us / theirs.processor_us
        for ours, theirs in zip(passed, relayed, strict=True)
    )
    measures.append(Measurement("speed.ratio", "product/relay", "product", ratio, "times"))
    return measures
