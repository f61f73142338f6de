"""MySQL authentication of callers."""

import hashlib
import typing
from collections import abc

from mysql_mimic import auth as mimic_auth


class PasswordStore(typing.Protocol):
    """Source of the callers' password digests."""

    def password_digest(self, user: str) -> str | None:
        """Return the SHA-256 hex digest of the user's password.

        Returns:
            The digest; empty if the user needs no password; None if the user
            is unknown.
        """


class ClearPassword(mimic_auth.AuthPlugin):
    """Checks a clear-text password against the stored SHA-256 digest."""

    name = 'mysql_clear_password'
    client_plugin_name = 'mysql_clear_password'

    def __init__(self, passwords: PasswordStore) -> None:
        self._passwords = passwords

    async def auth(
        self,
        auth_info: mimic_auth.AuthInfo | None = None,
    ) -> mimic_auth.AuthState:
        if auth_info is None:
            auth_info = yield mimic_auth.FILLER
        digest = self._passwords.password_digest(auth_info.username)
        given = hashlib.sha256(auth_info.data.rstrip(b'\0')).hexdigest()
        if digest is not None and digest in {'', given}:
            yield mimic_auth.Success(auth_info.username)
        else:
            yield mimic_auth.Forbidden()


class IdentityProvider(mimic_auth.IdentityProvider):
    """Selects the authentication plugin for a user.

    Users with a password authenticate with `mysql_clear_password`, since only
    the digest is stored; users without one with `mysql_native_password`.
    """

    def __init__(self, passwords: PasswordStore) -> None:
        self._passwords = passwords
        self._clear_password = ClearPassword(passwords)
        self._no_login = mimic_auth.NoLoginAuthPlugin()

    def get_plugins(self) -> abc.Sequence[mimic_auth.AuthPlugin]:
        return [
            mimic_auth.NativePasswordAuthPlugin(),
            self._clear_password,
            self._no_login,
        ]

    async def get_user(self, username: str) -> mimic_auth.User | None:
        digest = self._passwords.password_digest(username)
        if digest is None:
            return None
        if digest:
            return mimic_auth.User(
                username, auth_plugin=self._clear_password.name
            )
        native = mimic_auth.NativePasswordAuthPlugin.name
        return mimic_auth.User(username, auth_string='', auth_plugin=native)
