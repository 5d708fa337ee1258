"""Results of benchmarks, and their comparison with the bounds of ``bounds.ini``."""

import configparser
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Bound", "Measurement", "read_bounds", "find_violations"]

BOUNDS_FILE = Path(__file__).resolve().parent / "bounds.ini"


@dataclass(frozen=True)
class Measurement:
    """One result of a benchmark."""

    # Name as in bounds.ini, for example "failover.gap_worst".
    name: str
    # Conditions, for example deployment, lag or demand.
    case: str
    # "product", or a baseline: "naive", "ideal", "lease" or "relay".
    variant: str
    value: float
    unit: str


@dataclass(frozen=True)
class Bound:
    """Limits that a stated requirement sets for a result of the product."""

    least: float = float("-inf")
    most: float = float("inf")
    # False for results that are printed but never asserted, such as times.
    checked: bool = True


def read_bounds(path: Path = BOUNDS_FILE) -> dict[str, Bound]:
    """Read the bounds and return them by the name of the measurement."""
    parser = configparser.ConfigParser()
    parser.read(path, encoding="utf-8")
    return {
        name: Bound(
            parser.getfloat(name, "least", fallback=float("-inf")),
            parser.getfloat(name, "most", fallback=float("inf")),
            parser.getboolean(name, "checked", fallback=True),
        )
        for name in parser.sections()
    }


def find_violations(
    measurements: list[Measurement], bounds: dict[str, Bound], *, checked: bool = True
) -> list[Measurement]:
    """Return results of the product that are out of bounds.

    Parameters
    ----------
    checked : bool
        True to check the asserted bounds, False to check the others.
    """
    violations = []
    for measurement in measurements:
        bound = bounds.get(measurement.name, Bound())
        inside = bound.least <= measurement.value <= bound.most
        if measurement.variant == "product" and bound.checked is checked and not inside:
            violations.append(measurement)
    return violations
