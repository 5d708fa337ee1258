"""Draws benchmark results as bar charts; needs the extra ``plot``.

``python -m bench.plot [NAME ...]`` runs the benchmarks and writes ``bench/out/measures.png``.
"""

import importlib
import sys
from pathlib import Path

import matplotlib

from bench.__main__ import benchmark_names
from bench.measures import Measurement

OUTPUT_FILE = Path(__file__).resolve().parent / "out" / "measures.png"
PANEL_SIZE_INCHES = (7, 3)
COLOURS = {"product": "tab:blue", "naive": "tab:orange", "ideal": "tab:green"}


def draw(measurements: list[Measurement], path: Path) -> None:
    """Write an image with one panel for each distinct name among the measurements."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = sorted({measurement.name for measurement in measurements})
    width, height = PANEL_SIZE_INCHES
    figure, panels = pyplot.subplots(
        len(names), 1, figsize=(width, height * len(names)), squeeze=False, layout="constrained"
    )
    for name, panel in zip(names, panels[:, 0], strict=True):
        bars = [measurement for measurement in measurements if measurement.name == name]
        labels = [f"{bar.case}\n{bar.variant}" for bar in bars]
        colours = [COLOURS.get(bar.variant, "tab:gray") for bar in bars]
        panel.barh(labels, [bar.value for bar in bars], color=colours)
        panel.set_title(name)
        panel.set_xlabel(bars[0].unit)
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path)
    pyplot.close(figure)


def main(argv: list[str]) -> int:
    """Run benchmarks and draw their results."""
    names = argv or benchmark_names()
    results = [importlib.import_module(f"bench.{name}").run() for name in names]
    draw([measurement for measurements in results for measurement in measurements], OUTPUT_FILE)
    print(
        OUTPUT_FILE.relative_to(Path.cwd())
        if OUTPUT_FILE.is_relative_to(Path.cwd())
        else OUTPUT_FILE
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
