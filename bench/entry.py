"""An entry process with another choice: ``python -m bench.entry CHOICE SETTINGS NAME``."""

from __future__ import annotations

import pathlib
import random
import sys

from jasmineseam.operations.daemon import load_settings_or_exit
from jasmineseam.operations.daemon import run_daemon
from jasmineseam.programs.entry import EntryDaemon
from jasmineseam.programs.entry import find_process
from jasmineseam.routing import pool
from jasmineseam.routing.server_selection import ServerSelector
from jasmineseam.routing.server_selection import make_server_selector

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

    def make() -> ServerSelector:
        return make_server_selector(rng=random.Random(), **options)

    return make


def main() -> None:
    """Run the entry process."""
    choice, path, name = sys.argv[1:]
    settings = load_settings_or_exit(pathlib.Path(path))
    process = find_process(settings, name)
    make = _find_choice(choice)
    run_daemon(lambda one: EntryDaemon(settings=one, process=process, make_choice=make), settings)


if __name__ == "__main__":
    main()
