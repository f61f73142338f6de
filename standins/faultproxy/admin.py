"""HTTP admin interface that lists and adds links and sets their faults."""

import typing

from aiohttp import web

from standins.faultproxy import links

LOOPBACK = '127.0.0.1'


class Admin:
    """Request handlers of the admin interface."""

    def __init__(self, all_links: links.Links) -> None:
        """Create handlers that act on the links in `all_links`."""
        self._links = all_links

    def application(self) -> web.Application:
        """Return the web application with all routes."""
        application = web.Application()
        application.add_routes(
            [
                web.get('/links', self._list),
                web.post('/links', self._add),
                web.post('/links/{name}/faults', self._set_faults),
            ]
        )
        return application

    async def _list(self, _request: web.Request) -> web.Response:
        described = [link.describe() for link in self._links.values()]
        return web.json_response({'links': described})

    async def _add(self, request: web.Request) -> web.Response:
        body: dict[str, typing.Any] = await request.json()
        name = body['name']
        host = body.get('target_host', LOOPBACK)
        port = body['target_port']
        link = self._links.get(name)
        if link is None:
            link = links.Link(name, host, port)
            await self._links.add(
                link,
                body.get('listen_host', LOOPBACK),
                body.get('listen_port', 0),
            )
        link.set_target(host, port)
        return web.json_response(link.describe())

    async def _set_faults(self, request: web.Request) -> web.Response:
        link = self._links.get(request.match_info['name'])
        if link is None:
            return web.json_response({'error': 'no such link'}, status=404)
        try:
            await link.set_faults(**(await request.json()))
        except TypeError as error:
            return web.json_response({'error': str(error)}, status=400)
        return web.json_response(link.describe())
