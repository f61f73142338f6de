"""Registration of this daemon in the store, held under a store lease."""

import asyncio
import contextlib
import random
import secrets
import typing

import result

from celeryrelay.adapters import json_log
from celeryrelay.core import clock as clocks
from celeryrelay.gateway import catalog, directory, interfaces, settings
from celeryrelay.membership import store_pacing

# Longest wait for the first complete read of the store, which gives the number
# of daemons from which the lease's time to live is computed.
FIRST_READ_TIMEOUT_S = 1.0
# Fraction of the lease's time to live after which the lease is renewed.
RENEWAL_FRACTION = 0.3
RETRY_PAUSE_S = 0.3
# Fraction of the time to live in which the lease has certainly not expired; the
# rest allows for clocks of different rates.
CERTAIN_FRACTION = 0.98
# Limit for ending the lease at exit; without an answer it expires by itself.
RELEASE_TIMEOUT_S = 0.3


class Registration:
    """Keeps this daemon registered in the store.

    The registration is written under a store lease, which is renewed
    periodically. The store removes the registration when the lease ends.

    Attributes:
        lost_at: Time in seconds at which the first renewal in a row that got
            no answer was sent, None while the store answers renewals.
    """

    def __init__(
        self,
        options: settings.Settings,
        server_directory: directory.Directory,
        store: interfaces.Store,
        clock: clocks.Clock,
    ) -> None:
        """Prepare the registration; `run` writes it.

        Args:
            options: Settings with the instance name and addresses to register.
            server_directory: Gives the registered daemons.
            store: Store to register in.
            clock: Source of the time.
        """
        self._directory = server_directory
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
        self._lease_id = 0
        self._lease_ttl_ms = 0
        self._registration_delay_s: float = 0
        self._certain_until: float = 0
        self.lost_at: float | None = None

    @property
    def lease_id(self) -> int:
        """Id of the store lease; 0 before the first registration."""
        return self._lease_id

    @property
    def certain_until(self) -> float:
        """Time in seconds until which the store certainly has it.

        The lease counts from a moment after the call was sent.
        """
        return self._certain_until

    def on_store_read(self) -> None:
        """Handle the end of a complete read of the store."""
        self._store_read.set()
        self.on_removed()

    def on_store_restored(self) -> None:
        """Register again, as the restored store may have given the lease away.

        All daemons do so, each after a random time.
        """
        members = len(self._directory.daemons)
        max_delay_s = store_pacing.max_registration_delay_s(members)
        self._registration_delay_s = random.uniform(0, max_delay_s)
        self._registered.clear()

    def on_removed(self) -> None:
        """Register again if the store no longer has this registration."""
        if self._lease_id and self._member.name not in self._directory.daemons:
            self._registered.clear()

    async def run(self) -> typing.NoReturn:
        """Register and renew the lease until cancelled."""
        # The lease's time to live depends on the number of daemons.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                await self._store_read.wait()
        while True:
            if self._is_lease_too_short():
                self._registered.clear()
            if not self._registered.is_set():
                await asyncio.sleep(self._registration_delay_s)
                self._registration_delay_s = 0
                await self._register()
            try:
                async with asyncio.timeout(
                    self._lease_ttl_ms * RENEWAL_FRACTION / 1000,
                ):
                    await self._wait_until_unregistered()
            except TimeoutError:
                await self._renew()

    async def end(self) -> None:
        """End the lease now, so that peers need not wait until it expires."""
        if not self._lease_id:
            return
        problem = 'the store did not answer in time'
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                match await self._store.release(self._lease_id):
                    case result.Ok(_):
                        return
                    case result.Err(lost):
                        problem = lost.message
        self._log.info('store lease not ended', problem=problem)

    def _is_lease_too_short(self) -> bool:
        members = len(self._directory.daemons)
        registered = self._registered.is_set()
        return registered and store_pacing.should_replace_lease(
            self._lease_ttl_ms,
            members,
        )

    async def _wait_until_unregistered(self) -> None:
        while self._registered.is_set():
            await asyncio.sleep(RETRY_PAUSE_S)
        await asyncio.sleep(RETRY_PAUSE_S)

    async def _register(self) -> None:
        members = len(self._directory.daemons)
        sent_at = self._clock.monotonic()
        self._lease_ttl_ms = store_pacing.lease_ttl_ms(members)
        match await self._store.register(self._member, self._lease_ttl_ms):
            case result.Ok(lease):
                self._lease_id = lease
                self._on_confirmed(sent_at)
                self._registered.set()
                self._log.info(
                    'registered',
                    lease=lease,
                    ttl_ms=self._lease_ttl_ms,
                )
            case result.Err(problem):
                self._log.warning(
                    'registration failed',
                    problem=problem.message,
                )

    async def _renew(self) -> None:
        sent_at = self._clock.monotonic()
        match await self._store.renew(self._lease_id):
            case result.Ok(is_alive):
                self.lost_at = None
                if is_alive:
                    self._on_confirmed(sent_at)
                else:
                    self._certain_until = 0
                    self._log.warning(
                        'store lease expired',
                        lease=self._lease_id,
                    )
                    self._registered.clear()
            case result.Err(problem):
                if self.lost_at is None:
                    self.lost_at = sent_at
                self._log.info(
                    'store lease not renewed',
                    problem=problem.message,
                )

    def _on_confirmed(self, sent_at: float) -> None:
        ttl_s = self._lease_ttl_ms / 1000
        self._certain_until = sent_at + ttl_s * CERTAIN_FRACTION
