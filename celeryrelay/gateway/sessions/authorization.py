"""Whether a caller may use a route, and as which client account."""

import result

from celeryrelay.accounts import directory as accounts
from celeryrelay.core import outcomes
from celeryrelay.gateway import (
    catalog,
    directory,
    evidence_record,
    settings,
)
from celeryrelay.gateway.sessions import session_state

# Account of connections for statements that belong to no client account.
NO_ACCOUNT = ''


class Authorizer:
    """Finds the client account of a statement in the newest configuration."""

    def __init__(
        self,
        options: settings.Settings,
        server_directory: directory.Directory,
        evidence: evidence_record.EvidenceRecord,
    ) -> None:
        """Use the configuration of `server_directory`.

        Args:
            options: Settings of the daemon.
            server_directory: Holds the configuration in force.
            evidence: Evidence that it is the newest one.
        """
        self._options = options
        self._directory = server_directory
        self._evidence = evidence

    def authorize(
        self,
        route: catalog.Route,
        key_digest: accounts.KeyDigest | None,
        begun_as: str | None = None,
    ) -> result.Result[str, outcomes.NotRun]:
        """Return the name of the account that holds the caller's API key.

        Args:
            route: Route of the statement.
            key_digest: Digest of the key, None without one.
            begun_as: Account with which the statement's transaction began,
                None outside of a transaction. The transaction ends if its key
                has moved to another account, since its connection has not.
        """
        if route.public or not self._options.client_accounts:
            return result.Ok(NO_ACCOUNT)
        if not self._evidence.permits:
            return result.Err(self._evidence.refusal())
        account = self._find_account(key_digest)
        if account is None:
            return result.Err(_unknown_key())
        if begun_as is not None and account != begun_as:
            return result.Err(_account_changed())
        return result.Ok(account)

    def check_session(
        self, state: session_state.SessionState
    ) -> outcomes.NotRun | None:
        """Return why a session may run no statement, None if it may."""
        route = self._directory.route(state.database)
        return route and self.authorize(route, state.key_digest).err()

    def check_again(
        self, context: session_state.StatementContext
    ) -> outcomes.NotRun | None:
        """Return why a statement may not be sent any more, None if it may.

        Called just before it is sent, since its API key may have been withdrawn
        while it waited for a connection.
        """
        return self.authorize(
            context.route, context.state.key_digest, context.account
        ).err()

    def _find_account(
        self, key_digest: accounts.KeyDigest | None
    ) -> str | None:
        configuration = self._directory.configuration
        account = configuration and configuration.accounts.find(key_digest)
        return account.name if account else None


def _unknown_key() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.unknown_key,
        'no client account holds the API key of the session',
    )


def _account_changed() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.transaction_lost,
        'the API key was moved to another client account',
    )
