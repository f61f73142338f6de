"""MySQL client of the load generator, with errors mapped to results."""

import asyncio
import dataclasses
import itertools
import typing
from collections import abc

import aiomysql
import pymysql

from celeryrelay.core import outcomes
from celeryrelay.load import plans, tallies

CONNECT_TIMEOUT_S = 3
# Codes that the client library itself reports when the connection breaks; a
# server's own error codes are outside of this range.
CLIENT_ERROR_CODES = range(2000, 3000)
# CR_SERVER_LOST in MySQL's client library.
CONNECTION_LOST = 2013

Rows = abc.Sequence[abc.Sequence[typing.Any]]

_DRIVER_ERRORS = (
    pymysql.MySQLError,
    OSError,
    EOFError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Result of a statement, with its rows or its error.

    Attributes:
        result: Whether the statement ran, as far as the caller knows.
        rows: Rows of a query.
        code: MySQL error code, 0 without an error.
        message: Error message, empty without an error.
    """

    result: tallies.StatementResult
    rows: Rows = ()
    code: int = 0
    message: str = ''


def answer_for_error(error: BaseException) -> Answer:
    """Map an exception raised after a statement was sent to an answer."""
    arguments = error.args if isinstance(error, pymysql.MySQLError) else ()
    code = arguments[0] if arguments else CONNECTION_LOST
    if not isinstance(code, int) or code in CLIENT_ERROR_CODES or code == 0:
        code = CONNECTION_LOST
    message = str(error) or type(error).__name__
    match code:
        case outcomes.ERROR_NOT_RUN:
            result = tallies.StatementResult.not_run
        case outcomes.ERROR_OUTCOME_UNKNOWN | 2013:
            result = tallies.StatementResult.unknown
        case _:
            result = tallies.StatementResult.failed
    return Answer(result, (), code, message)


class Caller:
    """Caller with at most one open connection, which it may move.

    Each new connection goes to the next target in turn.
    """

    def __init__(
        self,
        plan: plans.LoadPlan,
        user: str,
        first_target: int,
    ) -> None:
        """Set up a caller; it connects when its first statement is run.

        Args:
            plan: Targets, timeouts and the initial command of a connection.
            user: User name of the connections.
            first_target: Index of the first target, modulo their number.
        """
        self._plan = plan
        self._user = user
        targets = plan.targets
        start = first_target % len(targets)
        self._targets = itertools.cycle(targets[start:] + targets[:start])
        self._connection: aiomysql.Connection | None = None

    def close(self) -> None:
        """Close the connection; the next statement opens one elsewhere."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def run(
        self,
        sql: str,
        arguments: tuple[typing.Any, ...] = (),
    ) -> Answer:
        """Run a statement once, connecting first if necessary."""
        if not self._is_open():
            failure = await self._connect()
            if failure is not None:
                return failure
        try:
            rows = await asyncio.wait_for(
                self._execute(sql, arguments),
                self._plan.statement_timeout_s,
            )
        except _DRIVER_ERRORS as error:
            answer = answer_for_error(error)
            if answer.code == CONNECTION_LOST:
                self.close()
            return answer
        return Answer(tallies.StatementResult.served, rows)

    def _is_open(self) -> bool:
        if self._connection is None:
            return False
        # aiomysql has no public method that tells whether the server has
        # closed the connection. Sending on a closed connection would report
        # a statement that can't have run as one with an unknown outcome.
        reader = self._connection._reader  # noqa: SLF001, WPS437
        if reader is None or reader.at_eof():
            self.close()
            return False
        return True

    async def _execute(
        self,
        sql: str,
        arguments: tuple[typing.Any, ...],
    ) -> Rows:
        assert self._connection is not None  # noqa: S101
        async with self._connection.cursor() as cursor:
            await cursor.execute(sql, arguments or None)
            return typing.cast(Rows, await cursor.fetchall())

    async def _connect(self) -> Answer | None:
        """Try each target once; return None when connected."""
        failure = None
        for _ in self._plan.targets:
            failure = await self._connect_to(next(self._targets))
            if failure is None:
                break
        return failure

    async def _connect_to(self, target: plans.Address) -> Answer | None:
        try:
            self._connection = await asyncio.wait_for(
                aiomysql.connect(
                    host=target.host,
                    port=target.port,
                    user=self._user,
                    autocommit=True,
                    init_command=self._plan.init_command or None,
                ),
                CONNECT_TIMEOUT_S,
            )
        except _DRIVER_ERRORS as error:
            answer = answer_for_error(error)
            # No statement was sent, so its outcome is known even if the
            # connection is lost.
            return dataclasses.replace(
                answer, result=tallies.StatementResult.failed
            )
        return None
