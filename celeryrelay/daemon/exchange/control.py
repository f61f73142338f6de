"""Control exchange: heartbeats, term stamps, members and evidence.

Each daemon talks to one relay of its availability zone. Relays read the store
for their zone and talk to the relays of the other zones, so the cost for a
daemon does not grow with the fleet.
"""

import asyncio
import dataclasses
import random
from collections import abc

import result

from celeryrelay.adapters import logs, peer_client, platform_client
from celeryrelay.conf import settings
from celeryrelay.core import clock, identity, peer_messages
from celeryrelay.daemon.exchange import fleet
from celeryrelay.daemon.failover import evidence
from celeryrelay.membership import roles, view
from celeryrelay.timeline import events

SUMMARY_CACHE_S = 0.1
DISCOVERY_ROUNDS = 5
# Rounds with an answer after which the members of all zones are known, and
# rounds without any after which the daemon takes itself to be alone.
SETTLED_ROUNDS = 3
ALONE_ROUNDS = 15
GROUP_PREFIX = 'groups/'
TERM_SUFFIX = '/term'
_MS_PER_S = 1000

_LOG = logs.get('control')


@dataclasses.dataclass(slots=True)
class ControlParts:
    """What the control task works with."""

    fleet: fleet.Fleet
    view: view.LiveView
    evidence: evidence.EvidenceTable
    client: peer_client.PeerClient
    platform: platform_client.PlatformClient
    settings: settings.Settings
    events: events.EventLog
    clock: clock.Clock


@dataclasses.dataclass(frozen=True, slots=True)
class _ViewSummary:
    fingerprint: str
    oldest_age_ms: float
    made_at: float


class Control:
    """Owns the fleet state of this daemon."""

    def __init__(self, parts: ControlParts) -> None:
        """Create the control task; `run` starts its loops."""
        self.revision = 0
        self.best_revision = 0
        self.best_revision_at = ''
        self._parts = parts
        self._listed: tuple[str, ...] = tuple(parts.settings.control.seeds)
        self._round = 0
        self._answers = 0
        self._summary: _ViewSummary | None = None
        self._unequal: set[str] = set()
        self._store_down = False

    @property
    def is_relay(self) -> bool:
        """Return whether this daemon is a relay of its zone."""
        own = self._parts.fleet.own
        members = self._parts.fleet.members
        return own in roles.relays(own.availability_zone, members)

    async def run(self) -> None:
        """Run all loops until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._exchange_loop())
            group.create_task(self._list_loop())
            group.create_task(self._store_loop())

    def on_exchange(
        self,
        request: peer_messages.ExchangeRequest,
    ) -> peer_messages.ExchangeReply:
        """Answer a control message of another daemon."""
        parts = self._parts
        now = parts.clock.monotonic()
        parts.events.observe(request.clock)
        sender = identity.Identity(
            request.instance,
            request.zone,
            request.incarnation,
        )
        parts.view.on_heartbeat(sender, now, leaving=request.draining)
        parts.view.on_digest(map(_digest_entry, request.members), now)
        parts.evidence.take(request.evidence, now)
        self._note_revision(request.configuration, request.instance)
        return self._reply(request, now)

    def refresh_members(self) -> None:
        """Derive the members of the fleet from the live view."""
        parts = self._parts
        members = parts.view.live(parts.clock.monotonic())
        leaving = parts.view.leaving_server_addresses()
        if parts.fleet.take_members(members, leaving):
            parts.events.emit(
                'members_changed',
                members=[member.instance for member in members],
                leaving=sorted(leaving),
            )

    def _reply(
        self,
        request: peer_messages.ExchangeRequest,
        now: float,
    ) -> peer_messages.ExchangeReply:
        parts = self._parts
        stamp = parts.fleet.stamp
        summary = self._view_summary(now)
        same = summary.fingerprint == request.have_members
        return peer_messages.ExchangeReply(
            clock=parts.events.stamp(),
            age_ms=(now - stamp.sent_at) * _MS_PER_S if stamp else None,
            store=stamp.store if stamp else 0,
            terms=self._terms_after(request.have_store),
            configuration=self.revision,
            members_version=summary.fingerprint,
            oldest_age_ms=summary.oldest_age_ms,
            members=None if same else _digest(self._parts.view, now),
            leaving=tuple(parts.view.leaving_server_addresses()),
            suspected=parts.evidence.suspected(now),
            evidence=parts.evidence.everything(now) if request.relay else (),
        )

    async def _exchange_loop(self) -> None:
        interval_s = self._parts.settings.control.exchange_interval_ms
        interval_s /= _MS_PER_S
        while True:
            started = self._parts.clock.monotonic()
            self._round += 1
            self.refresh_members()
            targets = self._targets()
            answered = await asyncio.gather(*map(self._exchange, targets))
            self._answers += any(answered)
            self.refresh_members()
            self._parts.fleet.heard = _heard(self._parts)
            self._settle()
            spent = self._parts.clock.monotonic() - started
            # Jitter keeps daemons that started together from staying so.
            pause = interval_s * random.uniform(0.9, 1.1)  # noqa: S311
            await asyncio.sleep(max(pause - spent, 0))

    def _targets(self) -> tuple[str, ...]:
        own = self._parts.fleet.own
        members = self._parts.fleet.members
        relays = roles.relays(own.availability_zone, members)
        if own in relays:
            chosen = self._relay_targets(relays)
        else:
            chosen = (
                [relays[self._round % 8 == 0].instance]
                if len(
                    relays,
                )
                > 1
                else [relay.instance for relay in relays]
            )
        discovers = self._round % DISCOVERY_ROUNDS == 1
        if self._listed and (discovers or not self._parts.fleet.settled):
            known = {member.instance for member in members}
            unknown = [
                address
                for address in self._listed
                if address not in known and address != own.instance
            ]
            if unknown:
                chosen.append(random.choice(unknown))  # noqa: S311
        return tuple(dict.fromkeys(chosen))

    def _relay_targets(self, relays: roles.SelectedDaemons) -> list[str]:
        own = self._parts.fleet.own
        members = self._parts.fleet.members
        zones = {member.availability_zone for member in members}
        chosen = [relay.instance for relay in relays if relay != own]
        for zone in sorted(zones - {own.availability_zone}):
            others = roles.relays(zone, members)
            chosen.append(others[self._round % len(others)].instance)
        return chosen

    def _settle(self) -> None:
        if self._parts.fleet.settled:
            return
        heard = self._answers >= SETTLED_ROUNDS
        if heard or self._round >= ALONE_ROUNDS:
            self._parts.fleet.settled = True
            self._parts.fleet.notify()
            self._parts.events.emit('members_settled')

    async def _exchange(self, instance: str) -> bool:
        parts = self._parts
        sent_at = parts.clock.monotonic()
        answered = await parts.client.call(
            instance,
            'peer/exchange',
            peer_messages.EXCHANGE_REQUEST.dump_json(
                self._request(instance, sent_at),
            ),
            parts.settings.control.request_timeout_ms,
        )
        if answered.is_err():
            return False
        decoded = peer_messages.decode(
            peer_messages.EXCHANGE_REPLY, answered.unwrap()
        )
        match decoded:
            case result.Ok(reply):
                self._take(instance, reply, sent_at)
            case result.Err(message):
                _LOG.warning('answer of {0} refused: {1}', instance, message)
        return decoded.is_ok()

    def _request(
        self,
        instance: str,
        now: float,
    ) -> peer_messages.ExchangeRequest:
        parts = self._parts
        stamp = parts.fleet.stamp
        relay = self.is_relay
        if relay:
            found = parts.evidence.everything(now)
        else:
            found = parts.evidence.own(now, parts.fleet.suspected_groups)
        differs = instance in self._unequal
        return peer_messages.ExchangeRequest(
            instance=parts.fleet.own.instance,
            incarnation=parts.fleet.own.incarnation,
            zone=parts.fleet.own.availability_zone,
            clock=parts.events.stamp(),
            have_store=stamp.store if stamp else 0,
            have_members=self._view_summary(now).fingerprint,
            configuration=self.revision,
            relay=relay,
            draining=parts.fleet.draining,
            evidence=found,
            members=_digest(self._parts.view, now) if relay and differs else (),
        )

    def _take(
        self,
        instance: str,
        reply: peer_messages.ExchangeReply,
        sent_at: float,
    ) -> None:
        parts = self._parts
        parts.events.observe(reply.clock)
        if reply.age_ms is not None:
            rate = 1 + parts.settings.terms.clock_rate_error
            read_at = sent_at - reply.age_ms * rate / _MS_PER_S
            self.take_terms(reply.terms, fleet.Stamp(reply.store, read_at))
        if reply.members is None:
            self._unequal.discard(instance)
            parts.view.on_fingerprint(
                reply.members_version,
                reply.oldest_age_ms,
                sent_at,
            )
        else:
            self._unequal.add(instance)
            parts.view.on_digest(map(_digest_entry, reply.members), sent_at)
        if not self.is_relay:
            parts.view.on_leaving_servers(reply.leaving)
            parts.fleet.suspected_groups = frozenset(reply.suspected)
        parts.evidence.take(reply.evidence, sent_at)
        self._note_revision(reply.configuration, instance)

    def take_terms(
        self,
        entries: abc.Iterable[peer_messages.TermEntry],
        stamp: fleet.Stamp,
    ) -> None:
        """Take term records and note the changes in the time line."""
        for record in self._parts.fleet.take_terms(entries, stamp):
            self._parts.events.emit(
                'term_learned',
                group=record.group,
                term=record.term,
                state=record.state,
                primary=record.primary,
            )

    def _note_revision(self, revision: int, instance: str) -> None:
        if revision > self.best_revision:
            self.best_revision = revision
            self.best_revision_at = instance
            self._parts.fleet.notify()

    async def _list_loop(self) -> None:
        interval_s = self._parts.settings.control.list_interval_ms / _MS_PER_S
        while True:
            alone = len(self._parts.fleet.members) < 2
            if self.is_relay or alone:
                await self._read_list()
            await asyncio.sleep(interval_s)

    async def _read_list(self) -> None:
        match await self._parts.platform.instances():
            case result.Ok(listed):
                now = self._parts.clock.monotonic()
                self._parts.view.on_instance_list(listed.instances, now)
                self._listed = tuple(
                    entry.address
                    for entry in listed.instances
                    if entry.kind is view.InstanceKind.entry
                )
                self.refresh_members()

    async def _store_loop(self) -> None:
        options = self._parts.settings.control
        interval_s = options.store_poll_interval_ms / _MS_PER_S
        failures = 0
        while True:
            if self.is_relay:
                read = await self._read_terms()
                failures = 0 if read else failures + 1
            # After an outage the readers must not come back all at once.
            backoff = min(2**failures, 8) if failures else 1
            spread = random.uniform(0.9, 1.1)  # noqa: S311
            await asyncio.sleep(interval_s * backoff * spread)

    async def _read_terms(self) -> bool:
        parts = self._parts
        sent_at = parts.clock.monotonic()
        known = parts.fleet.stamp.store if parts.fleet.stamp else 0
        match await parts.platform.range(GROUP_PREFIX, known):
            case result.Ok(changes):
                entries = [
                    peer_messages.TermEntry(group, entry.value, entry.revision)
                    for entry in changes.entries
                    if (group := _group_of(entry.key))
                ]
                self.take_terms(entries, fleet.Stamp(changes.revision, sent_at))
                self._note_store(down=False)
                return True
            case result.Err(_):
                self._note_store(down=True)
        return False

    def _note_store(self, *, down: bool) -> None:
        if down != self._store_down:
            self._store_down = down
            kind = 'store_unreachable' if down else 'store_reachable'
            self._parts.events.emit(kind)
            _LOG.info(kind.replace('_', ' '))

    def _view_summary(self, now: float) -> _ViewSummary:
        # A relay answers many requests between two changes of its view.
        summary = self._summary
        if summary is None or now - summary.made_at > SUMMARY_CACHE_S:
            summary = _ViewSummary(
                self._parts.view.fingerprint(now),
                self._parts.view.oldest_age_ms(now),
                now,
            )
            self._summary = summary
        elapsed_ms = (now - summary.made_at) * _MS_PER_S
        return dataclasses.replace(
            summary,
            oldest_age_ms=summary.oldest_age_ms + elapsed_ms,
        )

    def _terms_after(self, store: int) -> tuple[peer_messages.TermEntry, ...]:
        if store >= self._parts.fleet.last_change:
            return ()
        return tuple(
            entry
            for entry in self._parts.fleet.entries.values()
            if entry.revision > store
        )


def _digest(
    known: view.LiveView,
    now: float,
) -> tuple[peer_messages.MemberEntry, ...]:
    return tuple(
        peer_messages.MemberEntry(
            entry.identity.instance,
            entry.identity.availability_zone,
            entry.identity.incarnation,
            entry.age_ms,
            entry.leaving,
        )
        for entry in known.digest(now)
    )


def _heard(parts: ControlParts) -> frozenset[str]:
    return frozenset(
        entry.identity.incarnation
        for entry in parts.view.digest(parts.clock.monotonic())
    )


def _digest_entry(member: peer_messages.MemberEntry) -> view.DigestEntry:
    return view.DigestEntry(
        identity.Identity(member.instance, member.zone, member.incarnation),
        member.age_ms,
        member.leaving,
    )


def _group_of(key: str) -> str:
    if not key.startswith(GROUP_PREFIX) or not key.endswith(TERM_SUFFIX):
        return ''
    return key[len(GROUP_PREFIX) : -len(TERM_SUFFIX)]
