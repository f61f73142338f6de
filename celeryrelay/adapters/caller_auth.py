"""Password checks for callers."""

import hashlib
import typing
from collections import abc

from mysql_mimic import auth as mimic_auth


class Passwords(typing.Protocol):
    """Knows callers' passwords."""

    def password_digest(self, user: str) -> str | None:
        """Return the SHA-256 hex digest, '' for none, None if unknown."""


class ClearPassword(mimic_auth.AuthPlugin):
    """Checks a clear-text password against its SHA-256 digest."""

    name = 'mysql_clear_password'
    client_plugin_name = 'mysql_clear_password'

    def __init__(self, gate: Passwords) -> None:
        self._gate = gate

    async def auth(
        self,
        auth_info: mimic_auth.AuthInfo | None = None,
    ) -> mimic_auth.AuthState:
        if auth_info is None:
            auth_info = yield mimic_auth.FILLER
        digest = self._gate.password_digest(auth_info.username)
        given = hashlib.sha256(auth_info.data.rstrip(b'\0')).hexdigest()
        if digest is not None and digest in {'', given}:
            yield mimic_auth.Success(auth_info.username)
        else:
            yield mimic_auth.Forbidden()


class IdentityProvider(mimic_auth.IdentityProvider):
    """Chooses the password check by the caller's route."""

    def __init__(self, gate: Passwords) -> None:
        self._gate = gate
        self._clear = ClearPassword(gate)
        self._none = mimic_auth.NoLoginAuthPlugin()

    def get_plugins(self) -> abc.Sequence[mimic_auth.AuthPlugin]:
        return [mimic_auth.NativePasswordAuthPlugin(), self._clear, self._none]

    async def get_user(self, username: str) -> mimic_auth.User | None:
        digest = self._gate.password_digest(username)
        if digest is None:
            return None
        if digest:
            return mimic_auth.User(username, auth_plugin=self._clear.name)
        native = mimic_auth.NativePasswordAuthPlugin.name
        return mimic_auth.User(username, auth_string='', auth_plugin=native)
