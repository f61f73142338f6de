"""Status document and metrics of the daemon."""

import dataclasses
import typing

from celeryrelay.adapters import callers, metrics
from celeryrelay.core import clock
from celeryrelay.daemon.account import bookkeeping, recording
from celeryrelay.daemon.exchange import control, distribution, fleet
from celeryrelay.daemon.failover import promoter
from celeryrelay.daemon.holding import holder, holders

_MS_PER_S = 1000

Document = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class ReporterParts:
    """What the status is taken from."""

    fleet: fleet.Fleet
    control: control.Control
    distribution: distribution.Distribution
    holders: holders.HolderTable
    promoter: promoter.Promoter
    recorder: recording.Recorder
    books: bookkeeping.Bookkeeping
    callers: callers.CallerServer
    metrics: metrics.Metrics
    clock: clock.Clock


class Reporter:
    """Describes the present state of the daemon."""

    def __init__(self, parts: ReporterParts) -> None:
        """Create a reporter."""
        self._parts = parts

    def status(self) -> Document:
        """Return the status document."""
        parts = self._parts
        now = parts.clock.monotonic()
        stamp = parts.fleet.stamp
        return {
            'instance': parts.fleet.own.instance,
            'incarnation': parts.fleet.own.incarnation,
            'zone': parts.fleet.own.availability_zone,
            'draining': parts.fleet.draining,
            'relay': parts.control.is_relay,
            'revision': parts.distribution.state.revision,
            'known_revision': parts.distribution.state.known_revision,
            'configuration_current': self._is_current(now),
            'store_reading_age_ms': (
                round((now - stamp.sent_at) * _MS_PER_S) if stamp else None
            ),
            'members': [member.instance for member in parts.fleet.members],
            'leaving': sorted(parts.fleet.leaving),
            'connections': parts.callers.connections,
            'served': parts.recorder.served,
            'refused': parts.recorder.refused,
            'unknown': parts.recorder.unknown,
            'reads_primary': parts.recorder.reads_primary,
            'reads_replica': parts.recorder.reads_replica,
            'failovers': parts.promoter.completed,
            'groups': self._groups(),
            'holders': [
                _holder_document(held)
                for held in parts.holders.holders.values()
            ],
        }

    def metrics_page(self) -> bytes:
        """Return the metrics page."""
        parts = self._parts
        now = parts.clock.monotonic()
        age_s = parts.distribution.state.confirmation_age(now)
        parts.metrics.configuration(
            parts.distribution.state.revision,
            -1 if age_s is None else age_s,
        )
        parts.metrics.connections('callers', parts.callers.connections)
        for (group, slot), held in parts.holders.holders.items():
            waiting = held.parts.admission.waiting
            parts.metrics.queue_length(group, slot, waiting)
        return parts.metrics.render()

    def _is_current(self, now: float) -> bool:
        """Return whether the set in force is known to be the newest.

        A daemon that is not a relay learns it from a fresh store reading of
        its relay, which carries the relay's revision.
        """
        parts = self._parts
        if parts.distribution.state.needs_fetch:
            return False
        if parts.distribution.state.is_current(now):
            return True
        stamp = parts.fleet.stamp
        fresh = stamp is not None and now - stamp.sent_at < 5
        return fresh and not parts.control.is_relay

    def _groups(self) -> list[Document]:
        objects = self._parts.fleet.objects
        names = objects.groups if objects else ()
        return [
            {
                'name': name,
                'term': record.term,
                'state': record.state,
                'primary': record.primary,
            }
            for name in names
            if (record := self._parts.fleet.record(name)) is not None
        ]


def _holder_document(held: holder.SlotHolder) -> Document:
    status = held.parts.probe.status
    return {
        'group': held.parts.group.name,
        'slot': held.parts.slot.name,
        'role': status.role if status else 'unknown',
        'applied': status.applied if status else None,
        'connections': held.parts.pool.open_connections,
        'waiting': held.parts.admission.waiting,
        'transactions': len(held.transactions),
    }
