"""Starts a node from a checkout, without an installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from jasmineseam.platform.program import main

main()
