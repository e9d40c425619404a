"""Draws plots from the JSON files of the benches.

Usage: PYTHONPATH=src python bench/plots.py RESULTS FOLDER
"""

from collections.abc import Callable
import json
import pathlib
from typing import Any

import click
import matplotlib
import matplotlib.pyplot as plt

_BUFFERS = ("bound", "pooled", "asked", "held", "followed")
_PLANNING = ("wave_held", "wave_idle", "wave_started", "pace", "idle", "moves")


def draw_buffer(document: dict[str, Any], path: pathlib.Path) -> None:
    """Draws the buffer of each deployment next to the offline bound."""
    figure, axes = plt.subplots(figsize=(8, 4.5))
    rows = [row for row in document["days"] if row["has_outages"]]
    for number, name in enumerate(_BUFFERS):
        places = [index + number * 0.16 for index in range(len(rows))]
        values = [row[f"{name}_buffer"] for row in rows]
        axes.bar(places, values, 0.15, label=name)
    axes.set_xticks([index + 0.32 for index in range(len(rows))])
    axes.set_xticklabels([row["deployment"] for row in rows])
    axes.set_ylabel("buffer in VM-hours, with outages")
    _save(figure, axes, path / "buffer.png")


def draw_moves(document: dict[str, Any], path: pathlib.Path) -> None:
    """Draws the moves of each deployment next to the baselines."""
    figure, axes = plt.subplots(figsize=(8, 4.5))
    rows = [row for row in document["days"] if row["has_outages"]]
    for number, name in enumerate(("offline_moves", "moves", "followed_moves")):
        places = [index + number * 0.25 for index in range(len(rows))]
        axes.bar(places, [row[name] for row in rows], 0.24, label=name)
    axes.set_xticks([index + 0.25 for index in range(len(rows))])
    axes.set_xticklabels([row["deployment"] for row in rows])
    axes.set_yscale("log")
    axes.set_ylabel("VM moves, with outages")
    _save(figure, axes, path / "moves.png")


def draw_waits(document: dict[str, Any], path: pathlib.Path) -> None:
    """Draws the 99th percentile of the wait of each class."""
    figure, axes = plt.subplots(figsize=(8, 4.5))
    for number, (name, result) in enumerate(document["jobs"].items()):
        waits = result["waits"]
        places = [index + number * 0.35 for index in range(len(waits))]
        axes.bar(places, [row["p99"] for row in waits], 0.33, label=name)
        axes.set_xticks([index + 0.17 for index in range(len(waits))])
        axes.set_xticklabels([row["job_class"] for row in waits])
    axes.set_yscale("log")
    axes.set_ylabel("p99 of the wait in seconds")
    _save(figure, axes, path / "waits.png")


def draw_planning(document: dict[str, Any], path: pathlib.Path) -> None:
    """Draws the processor time of a planning round against VMs."""
    figure, axes = plt.subplots(figsize=(8, 4.5))
    rows = document["planning"]
    for name in _PLANNING:
        axes.plot(
            [row["vms"] for row in rows],
            [row[name] for row in rows],
            marker="o",
            label=name,
        )
    axes.set_xlabel("VMs")
    axes.set_ylabel("milliseconds of a round")
    _save(figure, axes, path / "planning.png")


def draw_flood(document: dict[str, Any], path: pathlib.Path) -> None:
    """Draws the worst goodput of other work in floods, by policy."""
    worst: dict[str, dict[str, float]] = {}
    for row in document["rows"]:
        if row["group"] == "flood" or not row["goodput_before"]:
            continue
        kept = row["goodput"] / row["goodput_before"]
        by_policy = worst.setdefault(row["deployment"], {})
        policy = row["policy"]
        by_policy[policy] = min(kept, by_policy.get(policy, kept))
    figure, axes = plt.subplots(figsize=(8, 4.5))
    for number, (name, by_policy) in enumerate(worst.items()):
        places = [index + number * 0.35 for index in range(len(by_policy))]
        axes.bar(places, list(by_policy.values()), 0.33, label=name)
        axes.set_xticks([index + 0.17 for index in range(len(by_policy))])
        axes.set_xticklabels(list(by_policy))
    axes.set_ylabel("least part of goodput kept by a group of other work")
    _save(figure, axes, path / "flood.png")


def _save(figure: Any, axes: Any, path: pathlib.Path) -> None:
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    plt.close(figure)
    print(path)


_DRAWERS: dict[
    str, tuple[Callable[[dict[str, Any], pathlib.Path], None], ...]
] = {
    "fleet.json": (draw_buffer, draw_moves, draw_waits),
    "planning.json": (draw_planning,),
    "flood.json": (draw_flood,),
}


@click.command()
@click.argument("results", type=click.Path(exists=True, path_type=pathlib.Path))
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def main(results: pathlib.Path, folder: pathlib.Path) -> None:
    """Draws what the JSON files in RESULTS allow into FOLDER."""
    matplotlib.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    for name, drawers in _DRAWERS.items():
        source = results / name
        if not source.exists():
            print(f"{source} is missing; run its bench with --json {source}")
            continue
        document = json.loads(source.read_text())
        for draw in drawers:
            draw(document, folder)


if __name__ == "__main__":
    main()
