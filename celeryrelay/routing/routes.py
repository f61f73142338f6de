"""Lookup of the route from a caller's user and schema to a database group."""

import result

from celeryrelay.conf import sets


class RouteTable:
    """Routes of one object set, indexed by user and schema."""

    def __init__(self, object_set: sets.ObjectSet) -> None:
        """Index the routes of `object_set`."""
        self._routes: dict[tuple[str, str], sets.Route] = {}
        self._by_user: dict[str, tuple[sets.Route, ...]] = {}
        for route in object_set.routes:
            self._routes.setdefault((route.user, route.schema), route)
            known = self._by_user.get(route.user, ())
            self._by_user[route.user] = (*known, route)

    def find(self, user: str, schema: str) -> result.Result[sets.Route, str]:
        """Return the route of `user` for `schema`, or an error message.

        For a user with a single route, the schema may be empty. The message is
        meant for the caller.
        """
        routes = self.user_routes(user)
        if not routes:
            return result.Err('no route for user "{0}"'.format(user))
        if not schema and len(routes) == 1:
            return result.Ok(routes[0])
        route = self._routes.get((user, schema))
        if route is not None:
            return result.Ok(route)
        schemas = ', '.join(sorted(known.schema for known in routes))
        return result.Err(
            'no route for user "{0}" and schema "{1}"; schemas: {2}'.format(
                user,
                schema,
                schemas,
            ),
        )

    def user_routes(self, user: str) -> tuple[sets.Route, ...]:
        """Return the routes of `user` in the order of the object set."""
        return self._by_user.get(user, ())
