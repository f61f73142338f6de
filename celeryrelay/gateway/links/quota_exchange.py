"""Requests for the operations of client accounts over one link."""

import asyncio
import itertools
from collections import abc

from celeryrelay.gateway.links import link_messages


class QuotaExchange:
    """Sends requests to another daemon and waits for its answers."""

    def __init__(
        self,
        connect: abc.Callable[[], abc.Awaitable[bool]],
        send: abc.Callable[[link_messages.Message], None],
    ) -> None:
        """Send messages with `send` once `connect` has opened the link."""
        self._connect = connect
        self._send = send
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future] = {}

    async def request(
        self,
        account: str,
        count: int,
        timeout_s: float,
    ) -> link_messages.QuotaAnswer | None:
        """Ask for operations of an account; return None without an answer.

        Args:
            account: Name of the client account.
            count: Number of operations.
            timeout_s: Time limit in seconds, including the opening of a link.
        """
        number = next(self._numbers)
        try:
            async with asyncio.timeout(timeout_s):
                if not await self._connect():
                    return None
                answer = asyncio.get_running_loop().create_future()
                self._waiting[number] = answer
                self._send(link_messages.RequestQuota(number, account, count))
                return await answer
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(number, None)

    def on_answer(self, answer: link_messages.QuotaAnswer) -> None:
        """Handle an answer; one that comes too late is ignored."""
        waiting = self._waiting.get(answer.request_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def on_link_closed(self) -> None:
        """End the requests without an answer."""
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_result(None)
