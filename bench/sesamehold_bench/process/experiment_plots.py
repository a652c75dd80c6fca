"""Plots of experiment results."""

from __future__ import annotations

from collections.abc import Sequence
import pathlib
from typing import Any

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt


def attainment(rows: Sequence[dict[str, Any]], path: pathlib.Path) -> None:
    """Plots deadline attainment by experiment, one bar for each deployment and dispatcher."""
    names = list(dict.fromkeys(row["experiment"] for row in rows))
    series = list(dict.fromkeys((row["deployment"], row["dispatcher"]) for row in rows))
    figure, axes = plt.subplots(figsize=(9, 1.5 + 0.35 * len(names) * max(1, len(series) / 2)))
    height = 0.8 / max(1, len(series))
    for offset, key in enumerate(series):
        found = {
            row["experiment"]: row["attainment"]
            for row in rows
            if (row["deployment"], row["dispatcher"]) == key
        }
        positions = [index + offset * height for index in range(len(names))]
        axes.barh(positions, [found.get(name, 0.0) for name in names], height, label=", ".join(key))
    axes.set_yticks([index + 0.4 - height / 2 for index in range(len(names))], names)
    axes.invert_yaxis()
    axes.set_xlim(0, 1)
    axes.set_xlabel("requests answered within their deadline")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)
