"""Run every benchmark, or the named ones: ``python -m bench [NAME ...]``."""

import importlib
import pkgutil
import sys

import bench
from bench.measures import Measurement, find_violations, read_bounds

HELPERS = {"__main__", "measures", "plot", "processes", "relay"}


def benchmark_names() -> list[str]:
    """List the modules of this package that have a ``run`` function."""
    names = [info.name for info in pkgutil.iter_modules(bench.__path__)]
    modules = {
        name: importlib.import_module(f"bench.{name}") for name in names if name not in HELPERS
    }
    return sorted(name for name, module in modules.items() if hasattr(module, "run"))


def main(argv: list[str]) -> int:
    """Run benchmarks and compare them with their bounds; 1 if one is outside."""
    measures: list[Measurement] = []
    for name in argv or benchmark_names():
        found = importlib.import_module(f"bench.{name}").run()
        for measure in found:
            print(
                f"{measure.name:32} {measure.case:28} {measure.variant:8} "
                f"{measure.value:12.4f} {measure.unit}"
            )
        measures += found
    for measure in find_violations(measures, read_bounds(), checked=False):
        print(f"misses its aim, not asserted: {measure.name} {measure.value:.2f} {measure.unit}")
    outside = find_violations(measures, read_bounds())
    for measure in outside:
        print(f"outside its bound: {measure.name} {measure.case} {measure.value} {measure.unit}")
    return 1 if outside else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
