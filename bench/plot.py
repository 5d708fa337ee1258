"""Draws benchmark results as bars, one panel for each measure; needs the extra ``plot``.

``python -m bench.plot [NAME ...]`` runs the benchmarks and writes ``bench/out/measures.png``.
"""

import importlib
import sys
from pathlib import Path

import matplotlib

from bench.__main__ import benchmark_names
from bench.measures import Measurement

OUT = Path(__file__).resolve().parent / "out" / "measures.png"
PANEL_INCHES = (7, 3)
COLOURS = {"product": "tab:blue", "naive": "tab:orange", "ideal": "tab:green"}


def draw(measures: list[Measurement], path: Path) -> None:
    """Write one picture with a panel for each measure."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = sorted({measure.name for measure in measures})
    width, height = PANEL_INCHES
    figure, panels = pyplot.subplots(
        len(names), 1, figsize=(width, height * len(names)), squeeze=False, layout="constrained"
    )
    for name, panel in zip(names, panels[:, 0], strict=True):
        shown = [measure for measure in measures if measure.name == name]
        labels = [f"{measure.case}\n{measure.variant}" for measure in shown]
        colours = [COLOURS.get(measure.variant, "tab:gray") for measure in shown]
        panel.barh(labels, [measure.value for measure in shown], color=colours)
        panel.set_title(name)
        panel.set_xlabel(shown[0].unit)
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path)
    pyplot.close(figure)


def main(argv: list[str]) -> int:
    """Run benchmarks and draw what they gave."""
    names = argv or benchmark_names()
    found = [importlib.import_module(f"bench.{name}").run() for name in names]
    draw([measure for measures in found for measure in measures], OUT)
    print(OUT.relative_to(Path.cwd()) if OUT.is_relative_to(Path.cwd()) else OUT)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
