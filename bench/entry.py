"""An entry process with another choice: ``python -m bench.entry CHOICE SETTINGS NAME``."""

from __future__ import annotations

import pathlib
import random
import sys

from jasmineseam.operations.daemon import load_or_exit
from jasmineseam.operations.daemon import run_daemon
from jasmineseam.programs.entry import Entry
from jasmineseam.programs.entry import find_process
from jasmineseam.routing import pool
from jasmineseam.routing.choice import Choice
from jasmineseam.routing.choice import make_choice

from .baselines import BASELINES


def _find_choice(name: str):
    if name in BASELINES:
        return BASELINES[name]
    # "ours:report_trust_s=0,overdue_penalty=4" varies the product's own decisions
    options = {}
    for pair in name.partition(":")[2].split(","):
        key, _, value = pair.partition("=")
        if key in ("hedge_quantile", "suspect_quantile"):
            setattr(pool, key.upper(), float(value))
        elif key:
            options[key] = float(value)

    def make() -> Choice:
        return make_choice(chooser=random.Random(), **options)

    return make


def main() -> None:
    """Run the entry process."""
    choice, path, name = sys.argv[1:]
    settings = load_or_exit(pathlib.Path(path))
    process = find_process(settings, name)
    make = _find_choice(choice)
    run_daemon(lambda one: Entry(settings=one, process=process, make_choice=make), settings)


if __name__ == "__main__":
    main()
