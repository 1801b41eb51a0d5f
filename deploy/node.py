"""Runs a node from a checkout without installation; the argument is the options file.

A node that has crashed is restarted by this script, which imports only what a node uses.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from jasmineseam.platform.program import run_node

run_node(options_file=pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else None)
