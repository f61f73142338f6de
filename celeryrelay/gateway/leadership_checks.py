"""Checks that a server led its group when it gave a reply of a primary.

Needed on platforms that don't depose the old primary with a promotion; see
`terms.leadership`. Replies that arrive within a few milliseconds share a check.
"""

import asyncio
import dataclasses
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import (
    catalog,
    commands,
    directory,
    interfaces,
    server_calls,
)
from celeryrelay.membership import store_pacing
from celeryrelay.terms import leadership

# Time in which replies join the same check.
JOIN_S = 0.004
# Time without an answer of another server after which the store is read.
STORE_READ_AFTER_S = 0.1
# Limits for one answer and for a whole check.
ANSWER_TIMEOUT_S = 0.25
CHECK_TIMEOUT_S = 0.6
# Time for which a server that did not answer is not asked again, and for which
# the store is then read at once.
SILENT_S = 0.5
DOUBTFUL_S = 2.0
# Least time between two log lines about the same server.
LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Denial:
    """A server denied to be the primary."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """A server claims to be the primary, in a term if it is known."""

    server_id: str
    term: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Silence:
    """A server did not answer."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """Servers that a promotion order may name; None if they are unknown."""

    candidates: frozenset[str] | None


_Finding = _Denial | _Claim | _Silence | _Record


class LeadershipChecks:
    """Gathers evidence after the replies of primaries."""

    def __init__(
        self,
        server_directory: directory.Directory,
        caller: server_calls.ServerCaller,
        store: interfaces.Store,
        clock: clocks.Clock,
    ) -> None:
        """Ask the servers of `server_directory` by `caller`."""
        self._directory = server_directory
        self._caller = caller
        self._store = store
        self._clock = clock
        self._joinable: dict[str, asyncio.Task[leadership.Verdict]] = {}
        self._silent_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self._address_counts: dict[str, int] = {}
        self._step_downs: set[asyncio.Task[typing.Any]] = set()
        self._log = json_log.get('primary')

    async def check(self, server: catalog.Server) -> leadership.Verdict:
        """Return whether a server led its group when it replied just now."""
        check = self._joinable.get(server.server_id)
        if check is None:
            check = asyncio.create_task(self._check(server))
            self._joinable[server.server_id] = check
        return await asyncio.shield(check)

    async def _check(self, server: catalog.Server) -> leadership.Verdict:
        others = self._others(server)
        is_doubtful = any(map(self._is_doubtful, others))
        await asyncio.sleep(self._join_s(server.server_id, is_doubtful))
        # Later replies need evidence that is later still.
        self._joinable.pop(server.server_id, None)
        self._started_at[server.server_id] = self._clock.monotonic()
        check = _Check(self, server, others)
        verdict = leadership.Verdict.unknown
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                verdict = await check.run(read_store=is_doubtful)
        except TimeoutError:
            self._log.debug('check timed out', server=server.server_id)
        finally:
            check.cancel()
        if verdict is not leadership.Verdict.leads:
            self._log_verdict(server, verdict, check.evidence)
        return verdict

    def _log_verdict(
        self,
        server: catalog.Server,
        verdict: leadership.Verdict,
        evidence: leadership.Evidence,
    ) -> None:
        """Log why a primary was not confirmed, at most once a second."""
        now = self._clock.monotonic()
        logged_at = self._logged_at.get(server.server_id)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        self._logged_at[server.server_id] = now
        candidates = evidence.candidates
        self._log.warning(
            'primary not confirmed',
            group=server.group,
            server=server.server_id,
            verdict=verdict.value,
            others=sorted(evidence.others),
            replicas=sorted(evidence.replicas),
            rivals=dict(evidence.rival_terms),
            own_term=evidence.own_term,
            candidates=None if candidates is None else sorted(candidates),
        )

    def _join_s(self, server_id: str, is_doubtful: bool) -> float:
        """Return for how long replies may join a check before it starts."""
        started_at = self._started_at.get(server_id)
        if started_at is None or not is_doubtful:
            return JOIN_S
        next_at = started_at + store_pacing.record_read_interval_s(
            len(self._directory.daemons)
        )
        return max(next_at - self._clock.monotonic(), JOIN_S)

    def _others(self, server: catalog.Server) -> tuple[catalog.Server, ...]:
        return tuple(
            known.server
            for known in self._directory.servers(server.group)
            if known.server.server_id != server.server_id
        )

    def are_all_known(self, server: catalog.Server) -> bool:
        """Return whether all servers of a server's group are known.

        While the store is reachable, each one is registered before an order
        can name it. Without it, one that is missing may have been replaced at
        its address.
        """
        known = self._directory.servers(server.group)
        addresses = len({one.server.address for one in known})
        largest = max(addresses, self._address_counts.get(server.group, 0))
        self._address_counts[server.group] = largest
        is_store_lost = self._directory.store_lost_at is not None
        return addresses == largest or not is_store_lost

    async def ask(self, server: catalog.Server) -> _Finding:
        """Ask a server whether it is the primary of its group."""
        server_id = server.server_id
        if self._silent_s(server_id) < SILENT_S:
            return _Silence(server_id)
        match await self._caller.try_begin(server, ANSWER_TIMEOUT_S):
            case commands.Reply(error=commands.ErrorKind.not_primary):
                self._silent_at.pop(server_id, None)
                return _Denial(server_id)
            case commands.Reply(error=None):
                return _Claim(server_id, await self.term(server))
        self.on_silent(server_id)
        return _Silence(server_id)

    def on_silent(self, server_id: str) -> None:
        """Record that a server did not answer in time."""
        self._silent_at[server_id] = self._clock.monotonic()

    async def term(self, server: catalog.Server) -> int | None:
        """Return the term of a server that claims to be the primary."""
        status = await self._caller.status(server, ANSWER_TIMEOUT_S)
        return status.term if status and status.is_primary else None

    async def read_record(self, group: str) -> _Record:
        """Read which servers a promotion order may name."""
        match await self._store.read_office(group):
            case result.Ok(None):
                return _Record(frozenset())
            case result.Ok(catalog.Office(orders=orders)):
                return _Record(orders.candidates)
        return _Record(None)

    def depose(self, server: catalog.Server, term: int) -> None:
        """Tell an outdated primary to step down for the term of another."""
        self._log.warning(
            'outdated primary told to step down',
            group=server.group,
            server=server.server_id,
            term=term,
        )
        # The check does not wait for it: the evidence is not changed by it.
        step_down = asyncio.create_task(
            self._caller.send(server, commands.StepDown(term), ANSWER_TIMEOUT_S)
        )
        self._step_downs.add(step_down)
        step_down.add_done_callback(self._step_downs.discard)

    def _silent_s(self, server_id: str) -> float:
        silent_at = self._silent_at.get(server_id)
        if silent_at is None:
            return float('inf')
        return self._clock.monotonic() - silent_at

    def _is_doubtful(self, server: catalog.Server) -> bool:
        return self._silent_s(server.server_id) < DOUBTFUL_S


class _Check:
    """One check of one server.

    Attributes:
        evidence: What the check has found so far.
    """

    def __init__(
        self,
        checks: LeadershipChecks,
        server: catalog.Server,
        others: tuple[catalog.Server, ...],
    ) -> None:
        self._checks = checks
        self._server = server
        self._others = {other.server_id: other for other in others}
        self.evidence = leadership.Evidence(
            others=frozenset(self._others),
            all_known=checks.are_all_known(server),
        )
        self._tasks = {
            asyncio.create_task(checks.ask(other)) for other in others
        }

    async def run(self, read_store: bool) -> leadership.Verdict:
        """Gather evidence until it decides; `read_store` at once or later."""
        must_read = read_store or not self.evidence.all_known
        has_read = False
        while True:
            if must_read and not has_read:
                has_read = True
                reading = self._checks.read_record(self._server.group)
                self._tasks.add(asyncio.create_task(reading))
            verdict = leadership.decide(self._server.server_id, self.evidence)
            if verdict is not leadership.Verdict.unknown or not self._tasks:
                return verdict
            done, _ = await asyncio.wait(
                self._tasks,
                timeout=None if has_read else STORE_READ_AFTER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            self._tasks -= done
            if not done:
                must_read = True
                self._report_silent()
            for task in done:
                finding = task.result()
                must_read = must_read or isinstance(finding, _Silence)
                await self._add(finding)

    def _report_silent(self) -> None:
        evidence = self.evidence
        for server_id in evidence.others - evidence.replicas:
            if server_id not in evidence.rival_terms:
                self._checks.on_silent(server_id)

    def cancel(self) -> None:
        """Cancel what is under way."""
        for task in self._tasks:
            task.cancel()

    async def _add(self, finding: _Finding) -> None:
        evidence = self.evidence
        match finding:
            case _Denial(server_id):
                evidence = dataclasses.replace(
                    evidence, replicas=evidence.replicas | {server_id}
                )
            case _Record(candidates):
                evidence = dataclasses.replace(evidence, candidates=candidates)
            case _Claim(server_id, int() as term):
                own_term = await self._checks.term(self._server)
                evidence = dataclasses.replace(
                    evidence,
                    own_term=own_term,
                    rival_terms={**evidence.rival_terms, server_id: term},
                )
                self._depose_outdated(server_id, term, own_term)
        self.evidence = evidence

    def _depose_outdated(
        self, rival_id: str, term: int, own_term: int | None
    ) -> None:
        """Tell the outdated one of two primaries to step down."""
        if own_term is None or own_term == term:
            return
        if own_term > term:
            self._checks.depose(self._others[rival_id], own_term)
        else:
            self._checks.depose(self._server, term)
