"""The daemon's own registration in the store."""

import asyncio
import contextlib
import secrets
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, directory, interfaces, settings
from celeryrelay.membership import store_pacing

# Time for which the registration waits for the first read of the store.
FIRST_READ_S = 1.0
# Part of the lease's time after which it is renewed.
RENEW_PART = 0.3
RETRY_S = 0.3
# Time for telling the store at the end; the lease ends by itself as well.
LEAVE_S = 0.3


class Registration:
    """Keeps a daemon registered under a lease.

    Attributes:
        lost_at: Time in seconds at which a renewal first got no answer, None
            while renewals are answered.
    """

    def __init__(
        self,
        options: settings.Settings,
        known: directory.Directory,
        store: interfaces.Store,
        clock: clocks.Clock,
    ) -> None:
        """Register the daemon of `options` in `store`."""
        self._directory = known
        self._store = store
        self._clock = clock
        self._log = json_log.get('daemon')
        self._member = catalog.Member(
            options.instance,
            options.availability_zone,
            secrets.token_hex(8),
            options.link_address,
            options.capacity,
        )
        self._registered = asyncio.Event()
        self._store_read = asyncio.Event()
        self._lease = 0
        self._lease_ttl_ms = 0
        self.lost_at: float | None = None

    @property
    def lease(self) -> int:
        """Lease that ends with the daemon; 0 before the first one."""
        return self._lease

    def on_store_read(self) -> None:
        """Note that all items of the store were read."""
        self._store_read.set()
        self.on_removed()

    def on_removed(self) -> None:
        """Register again if the own registration no longer exists."""
        if self._lease and self._member.name not in self._directory.daemons:
            self._registered.clear()

    async def run(self) -> typing.NoReturn:
        """Stay registered until cancelled."""
        # The lease's time depends on the number of daemons.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READ_S):
                await self._store_read.wait()
        while True:
            if self._is_lease_too_short():
                self._registered.clear()
            if not self._registered.is_set():
                await self._register()
            try:
                async with asyncio.timeout(
                    self._lease_ttl_ms * RENEW_PART / 1000,
                ):
                    await self._until_lost()
            except TimeoutError:
                await self._renew()

    async def end(self) -> None:
        """End the lease, so that others need not wait for it to run out."""
        if not self._lease:
            return
        problem = 'no answer in time'
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_S):
                match await self._store.release(self._lease):
                    case result.Ok(_):
                        return
                    case result.Err(lost):
                        problem = lost.message
        self._log.info('lease not ended', problem=problem)

    def _is_lease_too_short(self) -> bool:
        members = len(self._directory.daemons)
        registered = self._registered.is_set()
        return registered and store_pacing.should_replace_lease(
            self._lease_ttl_ms,
            members,
        )

    async def _until_lost(self) -> None:
        while self._registered.is_set():
            await asyncio.sleep(RETRY_S)
        await asyncio.sleep(RETRY_S)

    async def _register(self) -> None:
        members = len(self._directory.daemons)
        self._lease_ttl_ms = store_pacing.lease_ttl_ms(members)
        match await self._store.register(self._member, self._lease_ttl_ms):
            case result.Ok(lease):
                self._lease = lease
                self._registered.set()
                self._log.info(
                    'registered',
                    lease=lease,
                    ttl_ms=self._lease_ttl_ms,
                )
            case result.Err(problem):
                self._log.warning('not registered', problem=problem.message)

    async def _renew(self) -> None:
        match await self._store.renew(self._lease):
            case result.Ok(is_alive):
                self.lost_at = None
                if not is_alive:
                    self._log.warning('registration ended', lease=self._lease)
                    self._registered.clear()
            case result.Err(problem):
                if self.lost_at is None:
                    self.lost_at = self._clock.monotonic()
                self._log.info('lease not renewed', problem=problem.message)
