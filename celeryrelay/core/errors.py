"""Exceptions of the project."""


class CeleryrelayError(Exception):
    """Base of all exceptions that this project raises."""


class InvariantError(CeleryrelayError):
    """An internal invariant is violated; the process has to stop."""


class PlatformError(CeleryrelayError):
    """The platform's service did not answer, or its answer is invalid."""


class PeerError(CeleryrelayError):
    """Another daemon did not answer, or its answer is invalid."""


class BackendError(CeleryrelayError):
    """A connection to a backend server can't be used any more."""
