"""Event loop whose timers take no time, for tests of retries and pauses."""

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    now_s = 0.0

    def select(self, timeout=None):
        self.now_s += timeout or 0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers at once, in the order of their times."""

    def __init__(self):
        super().__init__(_Selector())

    def time(self):
        return self._selector.now_s


def run(coroutine):
    """Run a coroutine that uses no network."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
