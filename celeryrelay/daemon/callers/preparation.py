"""Preparation of a caller's statement: class, route and deadline."""

import dataclasses
import itertools
import re
from collections import abc

import result

from celeryrelay.conf import sets
from celeryrelay.core import clock, outcomes
from celeryrelay.daemon.callers import caller_statement, refusals
from celeryrelay.daemon.exchange import fleet_state
from celeryrelay.routing import classification, routes, statement_kinds

TOKEN_ATTRIBUTE = 'celeryrelay_token'  # noqa: S105 (name of an attribute)
REQUEST_ATTRIBUTE = 'celeryrelay_request_id'
REQUEST_ID = re.compile('[A-Za-z0-9_.:-]{1,64}')
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Login:
    """User and selected schema of a caller connection."""

    user: str = ''
    schema: str = ''


class Preparer:
    """Prepares statements with the routes of the active object set."""

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        classifier: classification.Classifier,
        ticker: clock.Clock,
    ) -> None:
        """Create the preparer of an entry."""
        self._fleet = fleet
        self._classifier = classifier
        self._clock = ticker
        self._request_numbers = itertools.count()
        self._route_table = (
            0,
            routes.RouteTable(sets.ObjectSet({}, (), {}, {})),
        )

    def classify(self, sql: str) -> statement_kinds.Classification:
        """Return the class of a statement, which decides how it is handled."""
        return self._classifier.classify(sql)

    def next_request(self) -> str:
        """Return a request id that is unique in the fleet."""
        return '{0}-{1}'.format(
            self._fleet.identity.incarnation,
            next(self._request_numbers),
        )

    def routes(self) -> routes.RouteTable:
        """Return the routes of the active object set."""
        published = self._fleet.published
        if published is not None and self._route_table[0] != published.revision:
            self._route_table = (
                published.revision,
                routes.RouteTable(published.object_set),
            )
        return self._route_table[1]

    def prepare(
        self,
        sql: str,
        found: statement_kinds.Classification,
        login: Login,
        attributes: abc.Mapping[str, str],
    ) -> caller_statement.Statement | outcomes.NotRun:
        """Return the statement with its route and deadline, or a refusal."""
        objects = self._fleet.objects
        if objects is None:
            return refusals.no_configuration()
        caller_request = attributes.get(REQUEST_ATTRIBUTE, found.request_id)
        if caller_request and not REQUEST_ID.fullmatch(caller_request):
            return refusals.unsupported(
                'a request id has 1 to 64 characters of A-Z a-z 0-9 _ . : -',
            )
        match self.routes().find(login.user, login.schema):
            case result.Ok(route):
                return self._statement(
                    sql,
                    found,
                    caller_request,
                    (objects, route),
                )
            case result.Err(message):
                return refusals.unsupported(message)

    def _statement(
        self,
        sql: str,
        found: statement_kinds.Classification,
        caller_request: str,
        objects_and_route: tuple[sets.ObjectSet, sets.Route],
    ) -> caller_statement.Statement:
        objects, route = objects_and_route
        now = self._clock.monotonic()
        deadline_ms = objects.ranks[route.rank].deadline_ms
        return caller_statement.Statement(
            request=self.next_request(),
            sql=sql,
            kind=found.kind,
            caller_request=caller_request,
            objects=objects,
            route=route,
            started_at=now,
            deadline=now + deadline_ms / _MS_PER_S,
        )
