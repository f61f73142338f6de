"""Clients of the HTTP interfaces of the processes in a deployment."""

import asyncio
import contextlib
import typing
import uuid

import aiohttp

from standins.deployment import specs

POLL_S = 0.05


class HttpClient:
    """Client of a program's HTTP interface on the loopback interface."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        port: int,
        fleet_key: str = '',
    ) -> None:
        """Send requests with `http`, which must raise on error statuses."""
        self._headers = {'Authorization': f'Bearer {fleet_key}'}
        self.address = f'{specs.HOST}:{port}'
        self.url = f'http://{self.address}'
        self._http = http

    async def get(self, path: str) -> typing.Any:
        """Send a GET request and return the decoded JSON response."""
        address = f'{self.url}{path}'
        async with self._http.get(address, headers=self._headers) as answer:
            return await answer.json(content_type=None)

    async def post(self, path: str, **fields: typing.Any) -> typing.Any:
        """Send `fields` as JSON in a POST and return the decoded response."""
        async with self._http.post(
            f'{self.url}{path}',
            json=fields,
            headers=self._headers,
        ) as answer:
            return await answer.json(content_type=None)

    async def wait_healthy(self) -> None:
        """Wait until `GET /health` succeeds."""
        while True:
            with contextlib.suppress(aiohttp.ClientError, ValueError):
                await self.get('/health')
                return
            await asyncio.sleep(POLL_S)


class PlatformClient(HttpClient):
    """Client of the stand-in platform."""

    async def put(self, key: str, value: typing.Any) -> int:
        """Write a value unconditionally and return its revision."""
        address = f'{self.url}/v1/kv/{key}'
        async with self._http.put(address, json={'value': value}) as answer:
            return int((await answer.json())['revision'])

    async def value(self, key: str) -> typing.Any:
        """Return the value that is stored under a key."""
        return (await self.get(f'/v1/kv/{key}'))['value']

    async def set_faults(self, **faults: typing.Any) -> None:
        """Change the given faults and keep the others."""
        await self.post('/admin/faults', **faults)

    async def publish(self, objects: specs.Document) -> None:
        """Store `objects` as the first revision of the configuration."""
        await self.put(
            'configuration',
            {
                'publication': str(uuid.uuid4()),
                'revision': 1,
                'objects': objects,
            },
        )


class FaultProxyClient(HttpClient):
    """Client of the fault proxy."""

    async def add_link(self, name: str, target_port: int = 0) -> int:
        """Add a link, or change its target, and return its listening port."""
        link = await self.post('/links', name=name, target_port=target_port)
        return int(link['port'])

    async def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Change the given faults of a link and keep the others."""
        await self.post(f'/links/{name}/faults', **faults)
