"""Offices: the right to order promotions in a group, and what was ordered."""

import dataclasses
import secrets

import result

from celeryrelay.adapters import json_log
from celeryrelay.gateway import catalog, interfaces, services
from celeryrelay.terms import order_records


@dataclasses.dataclass(frozen=True, slots=True)
class _UnansweredOrder:
    """An order of this daemon without an answer.

    Attributes:
        office: The office under which it was sent.
        chosen: The server that it names.
    """

    office: catalog.Office
    chosen: str


class Offices:
    """Acquires offices in the store and records answers to their orders."""

    def __init__(
        self,
        shared: services.Services,
        store: interfaces.Store,
    ) -> None:
        """Keep the offices of the groups in `store`."""
        self._shared = shared
        self._store = store
        self._log = json_log.get('failover')
        self._unanswered: dict[str, _UnansweredOrder] = {}

    def known(self, group: str) -> catalog.Office:
        """Return the newest known office; one of revision 0 without any."""
        known = self._shared.directory.offices.get(group)
        return known or catalog.Office(group, holder='', nonce='')

    async def acquire(
        self,
        previous: catalog.Office,
        targets: frozenset[str],
        hold_term: int = 0,
    ) -> catalog.Office | None:
        """Acquire the office that follows `previous`.

        The revision of the new one is a fencing token.

        Args:
            previous: The newest known office of the group.
            targets: Servers of which one will be promoted.
            hold_term: Term of the promotion if replicas will be held for it.
        """
        group = previous.group
        office = catalog.Office(
            group,
            self._shared.options.instance,
            secrets.token_hex(8),
            orders=previous.orders.before_order(targets),
            hold_term=hold_term,
        )
        acquired = await self._store.acquire_office(office, previous.revision)
        match acquired:
            case result.Ok(int() as new_revision):
                return dataclasses.replace(office, revision=new_revision)
            case result.Err(problem) if problem.unknown:
                return await self._confirm(office)
            case result.Ok(None):
                problem = 'another daemon acquired it first'
        self._log.info('office not acquired', group=group, problem=str(problem))
        await self.refresh(group)
        return None

    async def _confirm(
        self,
        office: catalog.Office,
    ) -> catalog.Office | None:
        """Read the office back to check whether an unanswered write applied."""
        match await self._store.read_office(office.group):
            case result.Ok(catalog.Office(nonce=nonce) as stored):
                self._shared.directory.on_change(stored)
                if nonce == office.nonce:
                    return stored
        self._log.info(
            'office not acquired',
            group=office.group,
            problem='answer lost and not confirmed by a read',
        )
        return None

    async def refresh(self, group: str) -> None:
        """Read the office of a group again."""
        match await self._store.read_office(group):
            case result.Ok(catalog.Office() as stored):
                self._shared.directory.on_change(stored)

    async def record_answer(
        self,
        previous: catalog.Office,
        office: catalog.Office,
        chosen: str,
        outcome: interfaces.OrderOutcome,
    ) -> None:
        """Record the answer to an order; one without an answer may be late.

        Args:
            previous: The office before this order.
            office: The office under which the order was sent.
            chosen: The server that it names.
            outcome: The answer.
        """
        if self._shared.options.deposes_primaries:
            return
        promoted = frozenset((chosen,) if outcome.accepted else ())
        orders = previous.orders.after_answer(promoted)
        if outcome.accepted or outcome.refused:
            await self._write_orders(office, orders)
        elif orders.settled:
            # All earlier orders were answered, so if the server leads, this
            # order was carried out.
            self._unanswered[office.group] = _UnansweredOrder(office, chosen)

    async def on_primary(self, group: str, server_id: str) -> None:
        """Settle an order without an answer if its target leads the group.

        Args:
            group: Name of the database group.
            server_id: The server that is presumed to be the primary. It became so
                by its own registration or by an answer of a primary.
        """
        order = self._unanswered.get(group)
        if order is None:
            return
        if self.known(group).revision != order.office.revision:
            # A later order covers this one.
            self._unanswered.pop(group)
        elif server_id == order.chosen:
            self._unanswered.pop(group)
            record = order_records.OrderRecord(frozenset((server_id,)))
            await self._write_orders(order.office, record)

    async def renew(self, office: catalog.Office) -> catalog.Office | None:
        """Write an office again, so that other daemons wait once more.

        Returns:
            The office with its new revision, None if another daemon may have
            acquired it.
        """
        return await self._write(office, office)

    async def record_release(self, office: catalog.Office) -> None:
        """Record that no replicas are held for `office` any more."""
        await self._write(office, dataclasses.replace(office, hold_term=0))

    async def _write_orders(
        self,
        office: catalog.Office,
        orders: order_records.OrderRecord,
    ) -> None:
        await self._write(office, dataclasses.replace(office, orders=orders))

    async def _write(
        self,
        known: catalog.Office,
        changed: catalog.Office,
    ) -> catalog.Office | None:
        match await self._store.acquire_office(changed, known.revision):
            case result.Ok(int() as revision):
                written = dataclasses.replace(changed, revision=revision)
                self._shared.directory.on_change(written)
                return written
            case problem:
                self._log.info(
                    'change of an office not recorded',
                    group=known.group,
                    problem=str(problem),
                )
        await self.refresh(known.group)
        return None
