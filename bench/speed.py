"""Processor time per statement through one instance, compared with a minimal relay.

One target, one instance and one relay run as processes on loopback; the same statements
go through the instance and the relay. Times are printed; their ratio in one run is
bounded.
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

__all__ = ["ONE_INSTANCE", "SETTINGS", "run", "run_statements"]

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
    """One connection that sends statements one after another."""

    address: Address
    key: str
    access: Access

    async def run(self, count: int) -> None:
        """Send statements and wait for each answer.

        Raises
        ------
        RuntimeError
            A statement failed.
        """
        channel = Channel(self.address.host, self.address.port, codec=CheckedCodec())
        statement_numbers: asyncio.Queue[int | None] = asyncio.Queue()
        answers = CallerStub(channel).connect(self._frames(statement_numbers))
        try:
            await anext(answers)
            for n in range(count):
                statement_numbers.put_nowait(n)
                answer = await anext(answers)
                if answer.answer is None:
                    raise RuntimeError(f"statement failed: {answer.failure}")
            statement_numbers.put_nowait(None)
            async for _ in answers:
                pass
        finally:
            channel.close()

    async def _frames(
        self, statement_numbers: "asyncio.Queue[int | None]"
    ) -> AsyncIterator[CallerFrame]:
        hello = Hello(workspace=WORKSPACE, key=self.key)
        yield CallerFrame(request_id="hello", hello=hello)
        while (n := await statement_numbers.get()) is not None:
            stmt = Statement(
                route=ROUTE,
                sql="SELECT ?, ? AS price",
                params=[Value(text="01 KZ 777"), Value(integer=4_100_000 + n)],
                access=self.access,
                deadline_ms=10_000,
            )
            yield CallerFrame(request_id=f"{id(self)}-{n}", statement=stmt)


def run_statements(address: str, key: str, count: int, access: Access = Access.READ) -> float:
    """Send statements over several concurrent connections; return the elapsed seconds."""
    callers = [Caller(parse_address(address), key, access) for _ in range(CONNECTIONS)]

    async def run_all() -> None:
        await asyncio.gather(*(caller.run(count // CONNECTIONS) for caller in callers))

    started_at = time.monotonic()
    asyncio.run(run_all())
    return time.monotonic() - started_at


@dataclass(frozen=True)
class StatementCost:
    """Processor time per statement and throughput of one process."""

    cpu_us: float
    statements_per_s: float


def _measure_cost(address: str, pid: int, key: str) -> StatementCost:
    run_statements(address, key, WARM_UP_STATEMENTS)
    cpu_before_s = cpu_time_s(pid)
    elapsed_s = run_statements(address, key, STATEMENTS)
    cpu_used_s = cpu_time_s(pid) - cpu_before_s
    return StatementCost(cpu_used_s / STATEMENTS * 1_000_000, STATEMENTS / elapsed_s)


def _start_relay(stack: ExitStack, target: str) -> tuple[str, int]:
    listen = free_addresses(1)[0]
    args = [sys.executable, "-m", "bench.relay", f"--listen={listen}", f"--target={target}"]
    process = subprocess.Popen(args, cwd=ROOT, env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"})
    stack.callback(process.wait)
    stack.callback(process.kill)
    return listen, process.pid


def run() -> list[Measurement]:
    """Measure relay and instance in alternating rounds; report the medians."""
    with ExitStack() as stack:
        fleet = stack.enter_context(Fleet(ONE_INSTANCE, SETTINGS))
        target = fleet.target_addresses["valuation-core-1-a"]
        relay_address, relay_pid = _start_relay(stack, target)
        fleet.wait_for_ports([relay_address])
        instance = next(iter(fleet.instance_addresses))
        key = fleet.operator(instance).grant_key(WORKSPACE)
        instance_address = fleet.instance_addresses[instance]
        relay_costs, instance_costs = [], []
        for _ in range(ROUNDS):
            relay_costs.append(_measure_cost(relay_address, relay_pid, ""))
            instance_costs.append(_measure_cost(instance_address, fleet.pid(instance), key))
    return _summarise(instance_costs, relay_costs)


def _summarise(
    instance_costs: list[StatementCost], relay_costs: list[StatementCost]
) -> list[Measurement]:
    measurements = []
    for variant, costs in (("product", instance_costs), ("relay", relay_costs)):
        cpu_us = statistics.median(cost.cpu_us for cost in costs)
        statements_per_s = statistics.median(cost.statements_per_s for cost in costs)
        measurements += [
            Measurement("speed.processor", "read", variant, cpu_us, "us/statement"),
            Measurement("speed.one_core", "read", variant, 1_000_000 / cpu_us, "statements/s"),
            Measurement(
                "speed.throughput", "read, 4 connections", variant, statements_per_s, "statements/s"
            ),
        ]
    ratio = statistics.median(
        instance_cost.cpu_us / relay_cost.cpu_us
        for instance_cost, relay_cost in zip(instance_costs, relay_costs, strict=True)
    )
    measurements.append(Measurement("speed.ratio", "product/relay", "product", ratio, "times"))
    return measurements
