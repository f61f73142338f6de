"""HTTP server for requests of other daemons and of operators."""

import hmac
import typing
from collections import abc

import result
from aiohttp import web

from celeryrelay.core import peer_messages

Lines = abc.AsyncGenerator[peer_messages.ResponseLine, None]

# Time that the last requests have to end when the server closes.
SHUTDOWN_TIMEOUT_S = 1.0
UNAUTHENTICATED_PATHS = frozenset(('/health', '/metrics'))


class Handlers(typing.Protocol):
    """Handlers of the requests of other daemons and operators."""

    def statement(
        self,
        request: peer_messages.StatementRequest,
    ) -> abc.AsyncGenerator[peer_messages.ResponseLine, None]:
        """Run a statement and yield the lines of its answer."""

    def exchange(
        self,
        request: peer_messages.ExchangeRequest,
    ) -> peer_messages.ExchangeReply:
        """Reply to a control message of another daemon."""

    def configuration(self) -> bytes | None:
        """Return the published object set as stored; None if unknown."""

    def account(self, body: bytes) -> result.Result[bytes, str]:
        """Accept a batch of accounting records.

        Returns:
            The acknowledgement, or the reason why the batch is invalid.
        """

    def healthy(self) -> bool:
        """Return whether the load balancer may send connections."""

    def status(self) -> bytes:
        """Return the status document."""

    def metrics(self) -> bytes:
        """Return the metrics page."""

    def events(self, after: int) -> bytes:
        """Return the events after a sequence number, as JSON lines."""

    def drain(self) -> None:
        """Start a planned stop."""


class PeerServer:
    """Serves the peer protocol and the operators' endpoints."""

    def __init__(self, handlers: Handlers, fleet_key: str) -> None:
        """Create a server that is not listening yet.

        Args:
            handlers: Handle the requests.
            fleet_key: Key that requests have to carry as a bearer token, except
                those to `UNAUTHENTICATED_PATHS`.
        """
        self._handlers = handlers
        self._expected_authorization = 'Bearer {0}'.format(fleet_key).encode()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port.

        Raises:
            OSError: Listening on the address failed.
        """
        app = web.Application(
            middlewares=[self._authenticate],
            client_max_size=max_body_bytes(),
        )
        app.add_routes(self._routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=75,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=1024)
        await site.start()
        return self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening and close connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.post('/peer/statement', self._statement),
            web.post('/peer/exchange', self._exchange),
            web.get('/peer/configuration', self._configuration),
            web.post('/peer/account', self._account),
            web.get('/health', self._health),
            web.get('/status', self._status),
            web.get('/metrics', self._metrics),
            web.get('/events', self._events),
            web.post('/admin/drain', self._drain),
        ]

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        given = request.headers.get('Authorization', '').encode()
        authorized = hmac.compare_digest(given, self._expected_authorization)
        if authorized or request.path in UNAUTHENTICATED_PATHS:
            return await handler(request)
        return web.Response(status=401, text='fleet key missing or wrong\n')

    async def _statement(self, request: web.Request) -> web.StreamResponse:
        decoded = peer_messages.decode(
            peer_messages.STATEMENT_REQUEST, await request.read()
        )
        if decoded.is_err():
            return web.Response(status=400, text=decoded.unwrap_err())
        response = web.StreamResponse()
        response.content_type = 'application/x-ndjson'
        await response.prepare(request)
        async for line in self._handlers.statement(decoded.unwrap()):
            await response.write(
                b'%b\n' % peer_messages.RESPONSE_LINE.dump_json(line)
            )
        await response.write_eof()
        return response

    async def _exchange(self, request: web.Request) -> web.Response:
        decoded = peer_messages.decode(
            peer_messages.EXCHANGE_REQUEST,
            await request.read(),
        )
        if decoded.is_err():
            return web.Response(status=400, text=decoded.unwrap_err())
        reply = self._handlers.exchange(decoded.unwrap())
        return _json(peer_messages.EXCHANGE_REPLY.dump_json(reply))

    async def _configuration(self, _: web.Request) -> web.Response:
        body = self._handlers.configuration()
        return web.Response(status=404) if body is None else _json(body)

    async def _account(self, request: web.Request) -> web.Response:
        match self._handlers.account(await request.read()):
            case result.Ok(body):
                return _json(body)
            case result.Err(message):
                return web.Response(status=400, text=message)

    async def _health(self, _: web.Request) -> web.Response:
        if self._handlers.healthy():
            return _json(b'{"healthy": true}')
        return web.Response(
            status=503,
            body=b'{"healthy": false}',
            content_type='application/json',
        )

    async def _status(self, _: web.Request) -> web.Response:
        return _json(self._handlers.status())

    async def _metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self._handlers.metrics(),
            content_type='text/plain',
        )

    async def _events(self, request: web.Request) -> web.Response:
        after = request.query.get('after', '0')
        if not after.isdecimal():
            return web.Response(status=400, text='after: not a number\n')
        return web.Response(
            body=self._handlers.events(int(after)),
            content_type='application/x-ndjson',
        )

    async def _drain(self, _: web.Request) -> web.Response:
        self._handlers.drain()
        return _json(b'{"draining": true}')


def max_body_bytes() -> int:
    """Return the size limit of a request body in bytes.

    Escaping in JSON at most doubles the largest statement of 16 MiB; 64 KiB are
    added for the other fields.
    """
    return 2 * 16777216 + 65536


def _json(body: bytes) -> web.Response:
    return web.Response(body=body, content_type='application/json')
