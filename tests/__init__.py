"""Tests; fakes stand at the interfaces, and the process-level ones start real programs."""
