"""Runs a node from a checkout without installation; the argument is the options file.

The script imports only what a node uses, since the time for imports delays the restart of a node
that has crashed.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from jasmineseam.platform.program import run_node

run_node(options_file=pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else None)
