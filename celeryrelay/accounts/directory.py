"""Client accounts of one configuration, found by the digest of an API key.

This module does no I/O. It keeps digests only, so neither a log line nor an
error message can contain a key.
"""

import dataclasses
import hashlib
import secrets
import typing
from collections import abc

DIGEST_BYTES = 16
MAX_RATE_PER_S = 1e9
# All keys are hashed at once, and a daemon answers nothing meanwhile.
MAX_API_KEYS = 20_000
# Digests of one process can't be compared with those of another one.
_DIGEST_KEY = secrets.token_bytes(DIGEST_BYTES)

KeyDigest = typing.NewType('KeyDigest', bytes)


def digest(api_key: str) -> KeyDigest:
    """Return the digest under which an API key is found in this process."""
    hashed = hashlib.blake2b(
        api_key.encode('utf-8', 'surrogateescape'),
        digest_size=DIGEST_BYTES,
        key=_DIGEST_KEY,
    )
    return KeyDigest(hashed.digest())


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the operations of one client account on all daemons together.

    Attributes:
        rate_per_s: Operations per second that are always permitted.
        burst: Operations that are permitted at once after a quiet time.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: Name by which backend servers know the account.
        priority: Priority among accounts, 0 for the most urgent one. Accepted in
            the configuration, but without effect so far.
        quota: Limit on its operations, None if there is none.
    """

    name: str
    priority: int = 0
    quota: Quota | None = None


class AccountDirectory:
    """The client accounts of one configuration."""

    def __init__(
        self,
        accounts: abc.Iterable[tuple[ClientAccount, abc.Collection[str]]],
    ) -> None:
        """Index accounts by their API keys.

        Args:
            accounts: Each account with its API keys.

        Raises:
            ValueError: Two accounts have the same name or key, or there are
                more than `MAX_API_KEYS` keys.
        """
        self._by_digest: dict[KeyDigest, ClientAccount] = {}
        self._by_name: dict[str, ClientAccount] = {}
        for account, api_keys in accounts:
            self._add(account, api_keys)

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._by_name)

    def find(self, key_digest: KeyDigest | None) -> ClientAccount | None:
        """Return the account that holds a key, None if there is none."""
        return self._by_digest.get(key_digest) if key_digest else None

    def named(self, name: str) -> ClientAccount | None:
        """Return the account with a name, None if there is none."""
        return self._by_name.get(name)

    def _add(
        self, account: ClientAccount, api_keys: abc.Collection[str]
    ) -> None:
        if account.name in self._by_name:
            raise ValueError(
                'client account {0!r} is listed twice'.format(account.name)
            )
        self._by_name[account.name] = account
        if len(self._by_digest) + len(api_keys) > MAX_API_KEYS:
            raise ValueError('more than {0} API keys'.format(MAX_API_KEYS))
        for key_digest in map(digest, api_keys):
            holder = self._by_digest.setdefault(key_digest, account)
            if holder is not account:
                raise ValueError(
                    'client accounts {0!r} and {1!r} have a key in '
                    'common'.format(holder.name, account.name)
                )
