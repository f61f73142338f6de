"""Exception family of the project."""


class CeleryrelayError(Exception):
    """Base of all exceptions that this project raises."""


class InvariantError(CeleryrelayError):
    """An internal invariant is broken; the process has to stop."""


class PlatformError(CeleryrelayError):
    """The platform's service gave no usable answer."""


class PeerError(CeleryrelayError):
    """Another daemon gave no usable answer."""


class BackendError(CeleryrelayError):
    """A backend server connection can't be used any more."""
