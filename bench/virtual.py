"""An event loop whose time passes only while everything waits, so that a played load repeats."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Skips every wait, and counts the time that it would have taken."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._passed = _Selector()
        super().__init__(self._passed)

    def time(self):
        return self._passed.now


def play_virtually(scenario):
    """Run a scenario, a function that returns a coroutine, on virtual time."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()
