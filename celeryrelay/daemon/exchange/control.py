"""Control exchange: heartbeats, term records, members and evidence.

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
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.daemon.failover import evidence
from celeryrelay.membership import roles, view
from celeryrelay.timeline import events

SUMMARY_CACHE_S = 0.1
DISCOVERY_ROUNDS = 5
# Number of answered rounds after which the members of all zones are known, and
# of rounds in total after which a daemon assumes that it is alone.
SETTLED_ROUNDS = 3
MAX_UNSETTLED_ROUNDS = 15
GROUP_PREFIX = 'groups/'
TERM_SUFFIX = '/term'
_MS_PER_S = 1000

_LOG = logs.get('control')


@dataclasses.dataclass(slots=True)
class ControlServices:
    """What the control exchange depends on."""

    fleet: fleet_state.FleetState
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


class ControlExchange:
    """Exchanges heartbeats, fleet state and configuration revisions."""

    def __init__(self, services: ControlServices) -> None:
        """Create the exchange; `run` starts its loops."""
        self.revision = 0
        self.highest_revision = 0
        self.highest_revision_instance = ''
        self._services = services
        self._listed: tuple[str, ...] = tuple(services.settings.control.seeds)
        self._round = 0
        self._answered_rounds = 0
        self._summary: _ViewSummary | None = None
        self._peers_with_other_view: set[str] = set()
        self._store_down = False

    @property
    def is_relay(self) -> bool:
        """Return whether this daemon is a relay of its zone."""
        own = self._services.fleet.own
        members = self._services.fleet.members
        return own in roles.relays(own.availability_zone, members)

    async def run(self) -> None:
        """Run all loops until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._exchange_loop())
            group.create_task(self._list_loop())
            group.create_task(self._store_loop())

    def on_exchange(
        self, request: peer_messages.ExchangeRequest
    ) -> peer_messages.ExchangeReply:
        """Apply and answer an exchange request of another daemon."""
        services = self._services
        now = services.clock.monotonic()
        services.events.observe_clock(request.clock)
        sender = identity.Identity(
            request.instance, request.zone, request.incarnation
        )
        services.view.on_heartbeat(sender, now, leaving=request.draining)
        services.view.on_digest(map(_digest_entry, request.members), now)
        services.evidence.merge(request.evidence, now)
        self._track_revision(request.configuration, request.instance)
        return self._reply(request, now)

    def refresh_members(self) -> None:
        """Derive the members of the fleet from the live view."""
        services = self._services
        members = services.view.live(services.clock.monotonic())
        leaving = services.view.leaving_server_addresses()
        if services.fleet.apply_members(members, leaving):
            services.events.emit(
                'members_changed',
                members=[member.instance for member in members],
                leaving=sorted(leaving),
            )

    def _reply(
        self, request: peer_messages.ExchangeRequest, now: float
    ) -> peer_messages.ExchangeReply:
        services = self._services
        reading = services.fleet.store_reading
        summary = self._view_summary(now)
        same = summary.fingerprint == request.have_members
        return peer_messages.ExchangeReply(
            clock=services.events.advance_clock(),
            age_ms=(now - reading.sent_at) * _MS_PER_S if reading else None,
            store=reading.revision if reading else 0,
            terms=self._terms_after(request.have_store),
            configuration=self.revision,
            members_version=summary.fingerprint,
            oldest_age_ms=summary.oldest_age_ms,
            members=None if same else _digest(self._services.view, now),
            leaving=tuple(services.view.leaving_server_addresses()),
            suspected=services.evidence.suspected_groups(now),
            evidence=services.evidence.of_suspected(now)
            if request.relay
            else (),
        )

    async def _exchange_loop(self) -> None:
        interval_s = self._services.settings.control.exchange_interval_ms
        interval_s /= _MS_PER_S
        while True:
            started = self._services.clock.monotonic()
            self._round += 1
            self.refresh_members()
            targets = self._targets()
            answered = await asyncio.gather(*map(self._exchange, targets))
            self._answered_rounds += any(answered)
            self.refresh_members()
            self._services.fleet.live_incarnations = _get_live(self._services)
            self._check_settled()
            spent = self._services.clock.monotonic() - started
            # Jitter spreads the rounds of daemons that started together.
            pause = interval_s * random.uniform(0.9, 1.1)  # noqa: S311
            await asyncio.sleep(max(pause - spent, 0))

    def _targets(self) -> tuple[str, ...]:
        own = self._services.fleet.own
        members = self._services.fleet.members
        relays = roles.relays(own.availability_zone, members)
        if own in relays:
            chosen = self._relay_targets(relays)
        else:
            chosen = (
                [relays[self._round % 8 == 0].instance]
                if len(relays) > 1
                else [relay.instance for relay in relays]
            )
        discovers = self._round % DISCOVERY_ROUNDS == 1
        if self._listed and (
            discovers or not self._services.fleet.members_settled
        ):
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
        own = self._services.fleet.own
        members = self._services.fleet.members
        zones = {member.availability_zone for member in members}
        chosen = [relay.instance for relay in relays if relay != own]
        for zone in sorted(zones - {own.availability_zone}):
            others = roles.relays(zone, members)
            chosen.append(others[self._round % len(others)].instance)
        return chosen

    def _check_settled(self) -> None:
        if self._services.fleet.members_settled:
            return
        has_answers = self._answered_rounds >= SETTLED_ROUNDS
        if has_answers or self._round >= MAX_UNSETTLED_ROUNDS:
            self._services.fleet.members_settled = True
            self._services.fleet.notify()
            self._services.events.emit('members_settled')

    async def _exchange(self, instance: str) -> bool:
        services = self._services
        sent_at = services.clock.monotonic()
        answered = await services.client.call(
            instance,
            'peer/exchange',
            peer_messages.EXCHANGE_REQUEST.dump_json(
                self._request(instance, sent_at)
            ),
            services.settings.control.request_timeout_ms,
        )
        if answered.is_err():
            return False
        decoded = peer_messages.decode(
            peer_messages.EXCHANGE_REPLY, answered.unwrap()
        )
        match decoded:
            case result.Ok(reply):
                self._apply_reply(instance, reply, sent_at)
            case result.Err(message):
                _LOG.warning('invalid reply from {0}: {1}', instance, message)
        return decoded.is_ok()

    def _request(
        self, instance: str, now: float
    ) -> peer_messages.ExchangeRequest:
        services = self._services
        reading = services.fleet.store_reading
        relay = self.is_relay
        if relay:
            found = services.evidence.of_suspected(now)
        else:
            found = services.evidence.own(now, services.fleet.suspected_groups)
        differs = instance in self._peers_with_other_view
        return peer_messages.ExchangeRequest(
            instance=services.fleet.own.instance,
            incarnation=services.fleet.own.incarnation,
            zone=services.fleet.own.availability_zone,
            clock=services.events.advance_clock(),
            have_store=reading.revision if reading else 0,
            have_members=self._view_summary(now).fingerprint,
            configuration=self.revision,
            relay=relay,
            draining=services.fleet.draining,
            evidence=found,
            members=_digest(self._services.view, now)
            if relay and differs
            else (),
        )

    def _apply_reply(
        self, instance: str, reply: peer_messages.ExchangeReply, sent_at: float
    ) -> None:
        services = self._services
        services.events.observe_clock(reply.clock)
        if reply.age_ms is not None:
            rate = 1 + services.settings.terms.clock_rate_error
            read_at = sent_at - reply.age_ms * rate / _MS_PER_S
            self.apply_terms(
                reply.terms, fleet_state.StoreReading(reply.store, read_at)
            )
        if reply.members is None:
            self._peers_with_other_view.discard(instance)
            services.view.on_fingerprint(
                reply.members_version, reply.oldest_age_ms, sent_at
            )
        else:
            self._peers_with_other_view.add(instance)
            services.view.on_digest(map(_digest_entry, reply.members), sent_at)
        if not self.is_relay:
            services.view.on_leaving_servers(reply.leaving)
            services.fleet.suspected_groups = frozenset(reply.suspected)
        services.evidence.merge(reply.evidence, sent_at)
        self._track_revision(reply.configuration, instance)

    def apply_terms(
        self,
        entries: abc.Iterable[peer_messages.TermEntry],
        reading: fleet_state.StoreReading,
    ) -> None:
        """Apply term records and log the changes in the time line."""
        for record in self._services.fleet.apply_terms(entries, reading):
            self._services.events.emit(
                'term_learned',
                group=record.group,
                term=record.term,
                state=record.state,
                primary=record.primary,
            )

    def _track_revision(self, revision: int, instance: str) -> None:
        if revision > self.highest_revision:
            self.highest_revision = revision
            self.highest_revision_instance = instance
            self._services.fleet.notify()

    async def _list_loop(self) -> None:
        interval_s = (
            self._services.settings.control.list_interval_ms / _MS_PER_S
        )
        while True:
            alone = len(self._services.fleet.members) < 2
            if self.is_relay or alone:
                await self._read_list()
            await asyncio.sleep(interval_s)

    async def _read_list(self) -> None:
        match await self._services.platform.instances():
            case result.Ok(listed):
                now = self._services.clock.monotonic()
                self._services.view.on_instance_list(listed.instances, now)
                self._listed = tuple(
                    entry.address
                    for entry in listed.instances
                    if entry.kind is view.InstanceKind.entry
                )
                self.refresh_members()

    async def _store_loop(self) -> None:
        options = self._services.settings.control
        interval_s = options.store_poll_interval_ms / _MS_PER_S
        failures = 0
        while True:
            if self.is_relay:
                read = await self._read_terms()
                failures = 0 if read else failures + 1
            # Keeps relays from reading all at once after a store outage.
            backoff = min(2**failures, 8) if failures else 1
            spread = random.uniform(0.9, 1.1)  # noqa: S311
            await asyncio.sleep(interval_s * backoff * spread)

    async def _read_terms(self) -> bool:
        services = self._services
        sent_at = services.clock.monotonic()
        known = (
            services.fleet.store_reading.revision
            if services.fleet.store_reading
            else 0
        )
        match await services.platform.range(GROUP_PREFIX, known):
            case result.Ok(changes):
                entries = [
                    peer_messages.TermEntry(group, entry.value, entry.revision)
                    for entry in changes.entries
                    if (group := _group_of(entry.key))
                ]
                self.apply_terms(
                    entries, fleet_state.StoreReading(changes.revision, sent_at)
                )
                self._report_store(down=False)
                return True
            case result.Err(_):
                self._report_store(down=True)
        return False

    def _report_store(self, *, down: bool) -> None:
        if down != self._store_down:
            self._store_down = down
            kind = 'store_unreachable' if down else 'store_reachable'
            self._services.events.emit(kind)
            _LOG.info(kind.replace('_', ' '))

    def _view_summary(self, now: float) -> _ViewSummary:
        # Cached: a relay answers many requests between changes of its view.
        summary = self._summary
        if summary is None or now - summary.made_at > SUMMARY_CACHE_S:
            summary = _ViewSummary(
                self._services.view.fingerprint(now),
                self._services.view.oldest_age_ms(now),
                now,
            )
            self._summary = summary
        elapsed_ms = (now - summary.made_at) * _MS_PER_S
        return dataclasses.replace(
            summary, oldest_age_ms=summary.oldest_age_ms + elapsed_ms
        )

    def _terms_after(self, store: int) -> tuple[peer_messages.TermEntry, ...]:
        if store >= self._services.fleet.newest_term_revision:
            return ()
        return tuple(
            entry
            for entry in self._services.fleet.term_entries.values()
            if entry.revision > store
        )


def _digest(
    view_state: view.LiveView, now: float
) -> tuple[peer_messages.MemberEntry, ...]:
    return tuple(
        peer_messages.MemberEntry(
            entry.identity.instance,
            entry.identity.availability_zone,
            entry.identity.incarnation,
            entry.age_ms,
            entry.leaving,
        )
        for entry in view_state.digest(now)
    )


def _get_live(services: ControlServices) -> frozenset[str]:
    return frozenset(
        entry.identity.incarnation
        for entry in services.view.digest(services.clock.monotonic())
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
