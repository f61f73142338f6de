"""Holds: replicas that receive nothing while a promotion is decided.

In a group whose commits wait for a replica, a primary that still runs goes on
to commit as long as one replica receives. Once all replicas are held, no commit
is acknowledged any more, and the replica with the longest log has all commits
that were. A hold ends with the promotion, or when it is released.
"""

import asyncio
from collections import abc

from celeryrelay.adapters import json_log
from celeryrelay.gateway import catalog, commands, server_calls

REPLY_TIMEOUT_S = 0.35


class ReplicaHolds:
    """Holds and releases the replicas of a group."""

    def __init__(self, server_caller: server_calls.ServerCaller) -> None:
        """Send commands with `server_caller`."""
        self._server_caller = server_caller
        self._log = json_log.get('failover')

    async def hold(
        self,
        replicas: abc.Sequence[catalog.Server],
        term: int,
    ) -> dict[str, commands.Status]:
        """Hold replicas; return the status of each that confirmed it.

        Args:
            replicas: The replicas.
            term: Term above the newest one.
        """
        pause = commands.PauseReplication(term)
        statuses = await asyncio.gather(
            *(
                self._server_caller.status(server, REPLY_TIMEOUT_S, pause)
                for server in replicas
            ),
        )
        return {
            server.server_id: status
            for server, status in zip(replicas, statuses, strict=True)
            if status is not None
        }

    async def release(self, replicas: abc.Sequence[catalog.Server]) -> bool:
        """Let replicas receive again; return whether all confirmed it."""
        resume = commands.ResumeReplication()
        replies = await asyncio.gather(
            *(
                self._server_caller.send(server, resume, REPLY_TIMEOUT_S)
                for server in replicas
            ),
        )
        unconfirmed = [
            server.server_id
            for server, reply in zip(replicas, replies, strict=True)
            if not isinstance(reply, commands.Reply) or reply.error is not None
        ]
        self._log.info(
            'replicas released',
            servers=[server.server_id for server in replicas],
            unconfirmed=unconfirmed,
        )
        return not unconfirmed
