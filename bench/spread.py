"""Propagation time of a settings change, and its cost per instance and for the platform.

The fleet runs in memory under a virtual clock. It makes the decisions of the product and
counts the encoded size of every message.
"""

from collections.abc import Callable
from typing import Any

from bench.measures import Measurement
from standins.memory_fleet import MemoryFleet, MemoryInstance
from tests.naive.fleet import NaiveInstance

__all__ = ["run"]

DATA_CENTRES = ("a", "b", "c")
MANY_DATA_CENTRES = tuple("abcdefghi")
SIZES = (3, 9, 27, 81)
# In smaller fleets an instance has fewer peers than its fan-out.
FULL_FAN_OUT_SIZE = 27
# Number of instances expected in two years.
PROJECTED_FLEET_SIZE = 3500
CHANGES_PER_DAY = 21_000
DAY_S = 86_400
WARM_UP_S = 25.0
MEASURED_CHANGES = 8
SPREAD_TIMEOUT_S = 60.0

ValueBySize = dict[int, float]


def run() -> list[Measurement]:
    """Measure the product and the naive version at each size."""
    measurements: list[Measurement] = []
    for variant, instance_class in (("product", MemoryInstance), ("naive", NaiveInstance)):
        measurements += _measure_variant(variant, instance_class)
    return measurements


def _measure_variant(variant: str, instance_class: Callable[..., Any]) -> list[Measurement]:
    in_force: ValueBySize = {}
    watchers: ValueBySize = {}
    after_outage: ValueBySize = {}
    control: ValueBySize = {}
    calls: ValueBySize = {}
    for size in SIZES:
        in_force[size], control_bytes_per_s, watcher_bytes_per_s, calls[size] = (
            _measure_steady_state(size, instance_class)
        )
        control |= {size: control_bytes_per_s} if control_bytes_per_s else {}
        watchers |= {size: watcher_bytes_per_s} if watcher_bytes_per_s else {}
        after_outage[size] = _time_after_outage(size, instance_class)
    return [
        *_with_slope("spread.in_force", variant, in_force, "s"),
        *_with_slope("spread.in_force_outage", variant, after_outage, "s"),
        *_with_slope("spread.control", variant, control, "B/s", FULL_FAN_OUT_SIZE),
        *_many_data_centres(variant, instance_class),
        *_with_slope("spread.watcher", variant, watchers, "B/s", FULL_FAN_OUT_SIZE),
        *_with_slope("spread.platform_calls", variant, calls, "1/s"),
    ]


def _many_data_centres(variant: str, instance_class: Callable[..., Any]) -> list[Measurement]:
    size = max(SIZES)
    in_force, control_bytes_per_s, _, _ = _measure_steady_state(
        size, instance_class, MANY_DATA_CENTRES
    )
    case = f"{size} peers, {len(MANY_DATA_CENTRES)} data centres"
    return [
        Measurement("spread.in_force", case, variant, in_force, "s"),
        Measurement("spread.control", case, variant, control_bytes_per_s, "B/s"),
    ]


def _warm_fleet(
    size: int, instance_class: Callable[..., Any], data_centres: tuple[str, ...] = DATA_CENTRES
) -> MemoryFleet:
    fleet = MemoryFleet(data_centres, size // len(data_centres), make_instance=instance_class)
    fleet.apply_change()
    fleet.run_for(WARM_UP_S)
    return fleet


def _measure_steady_state(
    size: int, instance_class: Callable[..., Any], data_centres: tuple[str, ...] = DATA_CENTRES
) -> tuple[float, float, float, float]:
    """Measure a fleet while changes are accepted at the rate of ``CHANGES_PER_DAY``.

    Returns
    -------
    tuple
        The longest propagation time; the most control bytes per second of any instance
        that does not watch the platform, and of any that does; platform calls per second.
    """
    fleet = _warm_fleet(size, instance_class, data_centres)
    started_at = fleet.clock.now
    bytes_before = fleet.control_bytes()
    calls_before = fleet.platform.calls.total()
    slowest_s = 0.0
    for n in range(MEASURED_CHANGES):
        slowest_s = max(slowest_s, _time_to_spread(fleet))
        fleet.run_for(started_at + (n + 1) * DAY_S / CHANGES_PER_DAY - fleet.clock.now)
    elapsed_s = fleet.clock.now - started_at
    bytes_per_s: dict[bool, float] = {False: 0.0, True: 0.0}
    for name, bytes_after in fleet.control_bytes().items():
        watches = (
            instance_class is MemoryInstance and fleet.instances[name].platform_watcher.watching
        )
        bytes_per_s[watches] = max(
            bytes_per_s[watches], (bytes_after - bytes_before[name]) / elapsed_s
        )
    calls = fleet.platform.calls.total() - calls_before
    return slowest_s, bytes_per_s[False], bytes_per_s[True], calls / elapsed_s


def _time_to_spread(fleet: MemoryFleet) -> float:
    started_at = fleet.clock.now
    names = sorted(fleet.instances)
    fleet.apply_change(at=names[int(started_at) % len(names)])
    revision = max(instance.store.tree.revision for instance in fleet.instances.values())
    fleet.run_until(lambda: fleet.lowest_revision() >= revision, SPREAD_TIMEOUT_S)
    return fleet.clock.now - started_at


def _time_after_outage(size: int, instance_class: Callable[..., Any]) -> float:
    """Return the propagation time of a change if the platform fails after accepting it.

    The result is ``SPREAD_TIMEOUT_S`` if the change does not reach all instances.
    """
    fleet = _warm_fleet(size, instance_class)
    started_at = fleet.clock.now
    fleet.apply_change()
    fleet.platform.down = True
    revision = next(iter(fleet.instances.values())).store.tree.revision
    fleet.run_until(lambda: fleet.lowest_revision() >= revision, SPREAD_TIMEOUT_S)
    return fleet.clock.now - started_at


def _with_slope(
    name: str, variant: str, points: ValueBySize, unit: str, least_size: int = 0
) -> list[Measurement]:
    if not points:
        return []
    slope, base = _fit_line({size: value for size, value in points.items() if size >= least_size})
    extrapolated = base + slope * PROJECTED_FLEET_SIZE
    return [
        *(
            Measurement(name, f"{size} peers", variant, value, unit)
            for size, value in points.items()
        ),
        Measurement(f"{name}_slope", "for each peer", variant, slope, unit),
        Measurement(
            name, f"{PROJECTED_FLEET_SIZE} peers, extrapolated", variant, extrapolated, unit
        ),
    ]


def _fit_line(points: ValueBySize) -> tuple[float, float]:
    """Fit a line by least squares; return its slope and its value at zero."""
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    spread_x = sum((x - mean_x) ** 2 for x in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / spread_x
    return slope, mean_y - slope * mean_x
