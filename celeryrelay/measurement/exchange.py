"""Size and CPU time of control exchanges over the loopback interface.

Client and server run in two threads with an event loop each, so that the
thread clocks give the CPU time of each side.
"""

import asyncio
import dataclasses
import threading
import time
import typing

import aiohttp
import orjson
from aiohttp import web

from celeryrelay.core import errors
from celeryrelay.measurement import series, settings

PATH = '/peer/exchange'
LOOPBACK = '127.0.0.1'
FLEET_KEY = 'x' * 43
INCARNATION = '0123456789abcdef'
WARM_UP_REQUESTS = 20
US_PER_SECOND = 1_000_000
START_TIMEOUT_S = 10

REQUEST_BYTES = series.Quantity('exchange request', 'bytes')
REPLY_BYTES = series.Quantity('exchange reply', 'bytes')
CLIENT_CPU = series.Quantity('exchange client CPU', 'us')
SERVER_CPU = series.Quantity('exchange server CPU', 'us')

NOT_COVERED = (
    'TCP/IP headers, TLS, handling of the content by the daemon, kernel time '
    + 'outside the two threads'
)

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCounts:
    """Numbers of entries in a request and its reply."""

    members: int = 0
    terms: int = 0
    evidence: int = 0


@dataclasses.dataclass(slots=True)
class MessageSizes:
    """Bytes of the last request and reply, including the HTTP heads."""

    request_bytes: int = 0
    reply_bytes: int = 0


def make_request(counts: EntryCounts) -> Json:
    """Return a request as specified in section 3.3 of the design page."""
    return {
        'instance': '10.0.0.1:7300',
        'incarnation': INCARNATION,
        'zone': 'zone-01',
        'clock': 123456789,
        'revision': 900,
        'have_terms': 123456,
        'evidence': [_evidence(number) for number in range(counts.evidence)],
    }


def make_reply(counts: EntryCounts) -> Json:
    """Return a reply as specified in section 3.3 of the design page."""
    return {
        'age_ms': 123.456,
        'terms': [_term(number) for number in range(counts.terms)],
        'revision': 900,
        'members': [_member(number) for number in range(counts.members)],
        'evidence': [_evidence(number) for number in range(counts.evidence)],
    }


class LoopbackExchange:
    """Server as in a relay, in a thread; client in the calling thread."""

    def __init__(self) -> None:
        """Start the server.

        Raises:
            CeleryrelayError: The server did not start in time.
        """
        self._reply: Json = {}
        self._sizes = MessageSizes()
        self._port = 0
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run_server, daemon=True)
        self._thread.start()
        if not self._ready.wait(START_TIMEOUT_S):
            raise errors.CeleryrelayError(
                'the exchange server did not start in time',
            )

    def measure(self, counts: EntryCounts, requests: int) -> series.Values:
        """Return the size and mean CPU time of an exchange."""
        self._reply = make_reply(counts)
        client_s, server_s = asyncio.run(self._measure_cpu(counts, requests))
        return {
            REQUEST_BYTES: self._sizes.request_bytes,
            REPLY_BYTES: self._sizes.reply_bytes,
            CLIENT_CPU: client_s / requests * US_PER_SECOND,
            SERVER_CPU: server_s / requests * US_PER_SECOND,
        }

    def close(self) -> None:
        """Stop the server."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _measure_cpu(
        self, counts: EntryCounts, requests: int
    ) -> tuple[float, float]:
        content = make_request(counts)
        headers = {'Authorization': 'Bearer {0}'.format(FLEET_KEY)}
        async with aiohttp.ClientSession(headers=headers) as client:
            await self._send(client, content, WARM_UP_REQUESTS)
            server_start = await self._server_cpu_time()
            client_start = time.thread_time()
            await self._send(client, content, requests)
            client_s = time.thread_time() - client_start
            server_s = await self._server_cpu_time() - server_start
        return client_s, server_s

    async def _send(
        self,
        client: aiohttp.ClientSession,
        content: Json,
        requests: int,
    ) -> None:
        url = 'http://{0}:{1}{2}'.format(LOOPBACK, self._port, PATH)
        for _ in range(requests):
            async with client.post(url, data=orjson.dumps(content)) as reply:
                await self._receive(reply)

    async def _receive(self, reply: aiohttp.ClientResponse) -> None:
        body = await reply.read()
        orjson.loads(body)
        self._sizes.reply_bytes = len(body) + _head_bytes(reply.raw_headers)

    async def _server_cpu_time(self) -> float:
        future = asyncio.run_coroutine_threadsafe(
            _thread_cpu_time(), self._loop
        )
        return await asyncio.wrap_future(future)

    def _run_server(self) -> None:
        self._loop.run_until_complete(self._start_server())
        self._ready.set()
        self._loop.run_forever()
        self._loop.close()

    async def _start_server(self) -> None:
        application = web.Application()
        application.router.add_post(PATH, self._handle)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        self._port = runner.addresses[0][1]

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        orjson.loads(body)
        self._sizes.request_bytes = len(body) + _head_bytes(request.raw_headers)
        return web.Response(
            body=orjson.dumps(self._reply),
            content_type='application/json',
        )


def measure_all(
    exchange_settings: settings.ExchangeSettings,
    repetitions: int,
) -> tuple[series.Series, ...]:
    """Measure exchanges with various numbers of each kind of entry."""
    exchange = LoopbackExchange()
    found: list[series.Series] = []
    for name in ('members', 'terms', 'evidence'):
        found.extend(
            series.collect(
                name,
                getattr(exchange_settings, name),
                repetitions,
                _measure_one(exchange, name, exchange_settings.requests),
                NOT_COVERED,
            ),
        )
    exchange.close()
    return tuple(found)


def _measure_one(
    exchange: LoopbackExchange,
    name: str,
    requests: int,
) -> series.Measure:
    return lambda size: exchange.measure(EntryCounts(**{name: size}), requests)


async def _thread_cpu_time() -> float:
    return time.thread_time()


def _head_bytes(headers: typing.Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of an HTTP head with the given headers.

    The first line is `POST /peer/exchange HTTP/1.1` in a request and
    `HTTP/1.1 200 OK` in a reply; the longer one is assumed for both.
    """
    first_line = len('POST {0} HTTP/1.1\r\n'.format(PATH))
    separators = len(': \r\n')
    lines = sum(len(name) + len(text) + separators for name, text in headers)
    return first_line + lines + len('\r\n')


def _member(number: int) -> Json:
    return {
        'instance': '10.0.{0}.{1}:7300'.format(number // 250, number % 250),
        'incarnation': INCARNATION,
        'zone': 'zone-{0:02d}'.format(number % 10),
        'state': 'live',
    }


def _term(number: int) -> Json:
    history = [[term, term * 1_000_000, term - 1] for term in range(100, 116)]
    return {
        'group': 'group-{0:04d}'.format(number),
        'term': 115,
        'primary': 'slot-0',
        'state': 'open',
        'history': history,
    }


def _evidence(number: int) -> Json:
    return {
        'group': 'group-{0:04d}'.format(number),
        'slot': 'slot-0',
        'term': 115,
        'zone': 'zone-01',
        'answers': False,
        'failures': 4,
        'span_ms': 612.5,
        'age_ms': 87.25,
    }
