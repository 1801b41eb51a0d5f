"""Plots the results of the routing benchmark to docs/bench/routing.png."""

from __future__ import annotations

import json
import pathlib

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

RESULTS_DIRECTORY = pathlib.Path(__file__).parent.parent / "docs" / "bench"
PLOTTED_LOAD_FRACTION = 0.85


def main() -> None:
    """Plot the p99 latency of each arm at 85 % of capacity, one panel for each workload."""
    rows_by_workload = {}
    for path in sorted(RESULTS_DIRECTORY.glob("routing-*.json")):
        rows = [
            row for row in json.loads(path.read_text()) if row["load"] == PLOTTED_LOAD_FRACTION
        ]
        if rows:
            rows_by_workload[f"{rows[0]['shape']}, {rows[0]['servers']} servers"] = rows
    figure, axes = plt.subplots(
        1, len(rows_by_workload), figsize=(6 * len(rows_by_workload), 3.5), squeeze=False
    )
    for axis, (name, rows) in zip(axes[0], rows_by_workload.items(), strict=True):
        axis.barh([row["arm"] for row in rows], [row["p99_ms"] for row in rows])
        axis.invert_yaxis()
        axis.set_title(name)
        axis.set_xlabel("p99 at 85 % of capacity, ms")
    figure.tight_layout()
    figure.savefig(RESULTS_DIRECTORY / "routing.png", dpi=100)


if __name__ == "__main__":
    main()
