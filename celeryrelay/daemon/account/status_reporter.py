"""Status document and metrics of the daemon."""

import dataclasses
import typing

from celeryrelay.adapters import callers, metrics
from celeryrelay.core import clock
from celeryrelay.daemon.account import batch_relay, outcome_recorder
from celeryrelay.daemon.exchange import configuration_sync, control, fleet_state
from celeryrelay.daemon.failover import promoter
from celeryrelay.daemon.holding import holder, holder_table

_MS_PER_S = 1000

Document = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusServices:
    """What the status document and the metrics are taken from."""

    fleet: fleet_state.FleetState
    control: control.ControlExchange
    distribution: configuration_sync.ConfigurationSync
    holders: holder_table.HolderTable
    promoter: promoter.Promoter
    recorder: outcome_recorder.OutcomeRecorder
    batch_relay: batch_relay.BatchRelay
    callers: callers.CallerServer
    metrics: metrics.Metrics
    clock: clock.Clock


class StatusReporter:
    """Builds the status document and the metrics page of the daemon."""

    def __init__(self, services: StatusServices) -> None:
        """Create a reporter on `services`."""
        self._services = services

    def status(self) -> Document:
        """Return the status document."""
        services = self._services
        now = services.clock.monotonic()
        reading = services.fleet.store_reading
        return {
            'instance': services.fleet.own.instance,
            'incarnation': services.fleet.own.incarnation,
            'zone': services.fleet.own.availability_zone,
            'draining': services.fleet.draining,
            'relay': services.control.is_relay,
            'revision': services.distribution.state.revision,
            'known_revision': services.distribution.state.known_revision,
            'configuration_current': self._is_current(now),
            'store_reading_age_ms': (
                round((now - reading.sent_at) * _MS_PER_S) if reading else None
            ),
            'members': [member.instance for member in services.fleet.members],
            'leaving': sorted(services.fleet.leaving_server_addresses),
            'connections': services.callers.connections,
            'served': services.recorder.served,
            'refused': services.recorder.refused,
            'unknown': services.recorder.unknown,
            'reads_primary': services.recorder.reads_primary,
            'reads_replica': services.recorder.reads_replica,
            'failovers': services.promoter.completed,
            'groups': self._groups(),
            'holders': [
                _holder_document(held)
                for held in services.holders.holders.values()
            ],
        }

    def metrics_page(self) -> bytes:
        """Return the metrics page."""
        services = self._services
        now = services.clock.monotonic()
        age_s = services.distribution.state.confirmation_age(now)
        services.metrics.configuration(
            services.distribution.state.revision,
            -1 if age_s is None else age_s,
        )
        services.metrics.connections('callers', services.callers.connections)
        for (group, slot), held in services.holders.holders.items():
            waiting = held.resources.admission.waiting
            services.metrics.queue_length(group, slot, waiting)
        return services.metrics.render()

    def _is_current(self, now: float) -> bool:
        """Return whether the set in force is known to be the newest.

        A daemon that is not a relay has no confirmation from the store itself;
        a store reading of its relay that is less than 5 s old stands for it,
        because the relay's revision arrives with it.
        """
        services = self._services
        if services.distribution.state.needs_fetch:
            return False
        if services.distribution.state.is_current(now):
            return True
        reading = services.fleet.store_reading
        fresh = reading is not None and now - reading.sent_at < 5
        return fresh and not services.control.is_relay

    def _groups(self) -> list[Document]:
        objects = self._services.fleet.objects
        names = objects.groups if objects else ()
        return [
            {
                'name': name,
                'term': record.term,
                'state': record.state,
                'primary': record.primary,
            }
            for name in names
            if (record := self._services.fleet.record(name)) is not None
        ]


def _holder_document(held: holder.SlotHolder) -> Document:
    status = held.resources.probe.status
    return {
        'group': held.resources.group.name,
        'slot': held.resources.slot.name,
        'role': status.role if status else 'unknown',
        'applied': status.applied if status else None,
        'connections': held.resources.pool.open_connections,
        'waiting': held.resources.admission.waiting,
        'transactions': len(held.transactions),
    }
