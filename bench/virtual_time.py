"""Event loop in virtual time, which makes simulations repeatable.

The clock advances only while all tasks wait.
"""

import asyncio
import selectors

# A real clock advances by more than this during one turn of the event loop.
MIN_TIMER_S = 1e-8


class _VirtualTimeSelector(selectors.SelectSelector):
    """Returns from every wait at once and adds its timeout to the virtual time."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._virtual_time_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_time_selector)

    def time(self):
        return self._virtual_time_selector.now

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback, late enough for the time to advance until then."""
        when = max(when, self.time() + MIN_TIMER_S)
        return super().call_at(when, callback, *args, context=context)


def run_in_virtual_time(scenario):
    """Run a coroutine to its end in virtual time and return its result.

    :param scenario: function without parameters that returns the coroutine; it is called outside
        the event loop.
    """
    loop = _VirtualTimeLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()
