"""Draws docs/bench/routing.png from the raw figures of the load bench."""

from __future__ import annotations

import json
import pathlib

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

RESULTS = pathlib.Path(__file__).parent.parent / "docs" / "bench"
LOAD = 0.85


def main() -> None:
    """Draw one bar for each arm's p99 at 85 % of capacity, a panel for each shape."""
    shapes = {}
    for path in sorted(RESULTS.glob("routing-*.json")):
        rows = [row for row in json.loads(path.read_text()) if row["load"] == LOAD]
        if rows:
            shapes[f"{rows[0]['shape']}, {rows[0]['servers']} servers"] = rows
    figure, axes = plt.subplots(1, len(shapes), figsize=(6 * len(shapes), 3.5), squeeze=False)
    for axis, (name, rows) in zip(axes[0], shapes.items(), strict=True):
        axis.barh([row["arm"] for row in rows], [row["p99_ms"] for row in rows])
        axis.invert_yaxis()
        axis.set_title(name)
        axis.set_xlabel("p99 at 85 % of capacity, ms")
    figure.tight_layout()
    figure.savefig(RESULTS / "routing.png", dpi=100)


if __name__ == "__main__":
    main()
