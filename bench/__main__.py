"""Run all benchmarks, or the named ones: ``python -m bench [NAME ...]``."""

import importlib
import pkgutil
import sys

import bench
from bench.measures import Measurement, find_violations, read_bounds

HELPER_MODULES = {
    "__main__",
    "experiment",
    "measures",
    "model",
    "paired",
    "plot",
    "policies",
    "processes",
    "relay",
}


def benchmark_names() -> list[str]:
    """Return the names of the modules of this package that have a ``run`` function."""
    names = [info.name for info in pkgutil.iter_modules(bench.__path__)]
    modules = {
        name: importlib.import_module(f"bench.{name}")
        for name in names
        if name not in HELPER_MODULES
    }
    return sorted(name for name, module in modules.items() if hasattr(module, "run"))


def main(argv: list[str]) -> int:
    """Run benchmarks and compare the results with their bounds.

    Returns
    -------
    int
        Exit status: 1 if an asserted result is outside its bounds.
    """
    measurements: list[Measurement] = []
    for name in argv or benchmark_names():
        results = importlib.import_module(f"bench.{name}").run()
        for measurement in results:
            print(
                f"{measurement.name:32} {measurement.case:28} {measurement.variant:8} "
                f"{measurement.value:12.4f} {measurement.unit}"
            )
        measurements += results
    for result in find_violations(measurements, read_bounds(), checked=False):
        print(f"out of bounds, not asserted: {result.name} {result.value:.2f} {result.unit}")
    violations = find_violations(measurements, read_bounds())
    for result in violations:
        print(f"out of bounds: {result.name} {result.case} {result.value} {result.unit}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
