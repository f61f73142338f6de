"""Task that keeps the evidence of the newest configuration recent.

In each region, the first registered daemon in rendezvous order reads the
configuration from the store; the others ask it over a link. If it gives no
recent evidence, the second one is asked, which then reads by itself. A daemon
that gets no evidence from either reads the store itself.
"""

import asyncio
import contextlib
import random
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.core import rendezvous
from celeryrelay.gateway import (
    catalog,
    directory,
    evidence_record,
    interfaces,
    settings,
)
from celeryrelay.gateway.links import link_messages, peer_registry
from celeryrelay.membership import store_pacing

READERS_PER_REGION = 2
# Key for which the readers come first in rendezvous order.
RENDEZVOUS_KEY = 'configuration evidence'
# Limit for the answer of a reader, as a fraction of the interval.
ANSWER_TIMEOUT_FRACTION = 0.3
# The interval varies by this fraction, so that daemons don't ask at once.
INTERVAL_JITTER = 0.1
MIN_CAPACITY = 0.01

ChangeHandler = typing.Callable[[catalog.StoreChange], None]


class EvidenceCollector:
    """Reads the configuration, or asks other daemons that have read it."""

    def __init__(
        self,
        options: settings.Settings,
        record: evidence_record.EvidenceRecord,
        server_directory: directory.Directory,
        store: interfaces.Store,
        peers: peer_registry.PeerRegistry,
        clock: clocks.Clock,
        on_change: ChangeHandler,
    ) -> None:
        """Collect evidence in `record`.

        Args:
            options: Settings of the daemon.
            record: The evidence.
            server_directory: Registered daemons.
            store: Store with the configuration.
            peers: Links to other daemons.
            clock: Source of the time.
            on_change: Applies a configuration that was read.
        """
        self._options = options
        self._record = record
        self._directory = server_directory
        self._store = store
        self._peers = peers
        self._clock = clock
        self._on_change = on_change
        self._failures = 0
        self._failed_reads = 0
        self._next_read_at: float = 0
        self._wake = asyncio.Event()
        self._log = json_log.get('evidence')

    def wake(self) -> None:
        """Collect evidence now, since the store is reachable again."""
        self._failed_reads = 0
        self._next_read_at = 0
        self._wake.set()

    async def run(self) -> typing.NoReturn:
        """Collect evidence until cancelled."""
        while True:
            self._wake.clear()
            await self.collect()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._pause_s()):
                    await self._wake.wait()

    async def collect(self) -> None:
        """Make one attempt to get recent evidence."""
        if await self._ask_readers() or await self._read_if_due():
            self._failures = 0
        else:
            self._failures += 1

    def readers(self) -> tuple[str, ...]:
        """Return the daemons of the region that read for the others."""
        region = self._options.region
        own_region = region(self._options.availability_zone)
        capacities = {
            member.name: max(member.capacity, MIN_CAPACITY)
            for member in self._directory.daemons.values()
            if region(member.availability_zone) == own_region
        }
        ranked = rendezvous.order_by_capacity(RENDEZVOUS_KEY, capacities)
        return ranked[:READERS_PER_REGION]

    def _pause_s(self) -> float:
        revoke_s = self._options.revoke_s
        pause_s = store_pacing.evidence_interval_s(revoke_s)
        if self._failures:
            pause_s = store_pacing.evidence_retry_s(self._failures, revoke_s)
        return pause_s * random.uniform(1 - INTERVAL_JITTER, 1)

    async def _ask_readers(self) -> bool:
        """Return whether a reader, or this daemon as one, gave evidence."""
        for name in self.readers():
            if name == self._options.instance:
                is_answered = await self._read()
            else:
                is_answered = await self._ask(name)
            if is_answered:
                return True
        return False

    async def _ask(self, name: str) -> bool:
        peer = self._peers.peer(name)
        if peer is None:
            return False
        asked_at = self._clock.monotonic()
        interval_s = store_pacing.evidence_interval_s(self._options.revoke_s)
        match await peer.ask(
            link_messages.AskEvidence, interval_s * ANSWER_TIMEOUT_FRACTION
        ):
            case link_messages.EvidenceAnswer() as answer:
                self._record.on_answer(asked_at, answer)
                return self._record.is_fresh
        return False

    async def _read_if_due(self) -> bool:
        """Read the store unless this daemon is a reader or has evidence.

        All daemons that miss a reader get here at once, so they spread their
        reads.
        """
        is_reader = self._options.instance in self.readers()
        is_early = self._clock.monotonic() < self._next_read_at
        if is_reader or is_early or self._record.is_fresh:
            return False
        spread_s = store_pacing.evidence_spread_s(
            len(self._directory.daemons), self._options.revoke_s
        )
        await asyncio.sleep(spread_s * random.random())
        if self._record.is_fresh or await self._read():
            self._failed_reads = 0
            return True
        self._failed_reads += 1
        self._next_read_at = (
            self._clock.monotonic()
            + store_pacing.evidence_read_pause_s(
                self._failed_reads, self._options.revoke_s
            )
        )
        return False

    async def _read(self) -> bool:
        sent_at = self._clock.monotonic()
        match await self._store.read_configuration():
            case result.Ok(catalog.Configuration() as configuration):
                self._on_change(configuration)
                version = configuration.version
            case result.Ok(interfaces.MalformedConfiguration()):
                # The last valid version stays in force.
                version = self._record.evidence.in_force
            case result.Ok(None):
                return False
            case result.Err():
                return False
        self._record.on_confirmed(sent_at, version)
        if version < self._record.evidence.newest_version:
            self._log.warning(
                'the configuration in the store is older than a known one',
                version=version,
                newest_version=self._record.evidence.newest_version,
            )
        return self._record.evidence.confirmed_at == sent_at
