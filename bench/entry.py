"""Runs an entry process with another server selector.

Usage: ``python -m bench.entry SELECTOR SETTINGS NAME``.
"""

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

from .baselines import SELECTOR_BASELINES


def _find_selector_factory(name: str):
    if name in SELECTOR_BASELINES:
        return SELECTOR_BASELINES[name]
    # "ours:silence_penalty=0,overdue_penalty=4" is the product's selector with other parameters
    options = {}
    for pair in name.partition(":")[2].split(","):
        key, _, value = pair.partition("=")
        if key in ("hedge_quantile", "suspect_quantile"):
            setattr(pool, key.upper(), float(value))
        elif key:
            options[key] = float(value)

    def make_selector() -> ServerSelector:
        return make_server_selector(rng=random.Random(), **options)

    return make_selector


def main() -> None:
    """Run the entry process until it is stopped."""
    selector_name, path, process_name = sys.argv[1:]
    settings = load_settings_or_exit(pathlib.Path(path))
    process = find_process(settings, process_name)
    make_selector = _find_selector_factory(selector_name)
    run_daemon(
        lambda loaded: EntryDaemon(
            settings=loaded, process=process, make_server_selector=make_selector
        ),
        settings,
    )


if __name__ == "__main__":
    main()
