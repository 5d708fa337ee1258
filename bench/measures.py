"""What a benchmark gives, and how it is compared with its bound."""

import configparser
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Bound", "Measurement", "read_bounds", "find_violations"]

BOUNDS_FILE = Path(__file__).resolve().parent / "bounds.ini"


@dataclass(frozen=True)
class Measurement:
    """One measured figure."""

    # For example "failover.gap", as in bounds.ini.
    name: str
    # Deployment, lag, demand: what tells this figure from others of the name.
    case: str
    # "product", "naive" or "ideal".
    variant: str
    value: float
    unit: str


@dataclass(frozen=True)
class Bound:
    """Limits that a stated target sets for the product."""

    least: float = float("-inf")
    most: float = float("inf")
    # False for times, which are printed but never asserted.
    checked: bool = True


def read_bounds(path: Path = BOUNDS_FILE) -> dict[str, Bound]:
    """Read the bounds; each section names a measure."""
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
    measures: list[Measurement], bounds: dict[str, Bound], *, checked: bool = True
) -> list[Measurement]:
    """Find the product's figures that are outside their bounds, asserted ones or others."""
    outside = []
    for measure in measures:
        bound = bounds.get(measure.name, Bound())
        inside = bound.least <= measure.value <= bound.most
        if measure.variant == "product" and bound.checked is checked and not inside:
            outside.append(measure)
    return outside
