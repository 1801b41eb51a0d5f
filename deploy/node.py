"""Starts a node from a checkout, without an installation; its argument is the options file.

A lost process starts again from here, so nothing is loaded that a node does not use.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from jasmineseam.platform.program import run_node

run_node(options_file=pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else None)
