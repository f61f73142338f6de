"""Log positions of database groups."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A place in the log of a database group.

    Offsets keep growing over terms.

    Attributes:
        group: Name of the database group.
        term: Term in which the entry was written.
        offset: Number of log entries up to and including this one.
    """

    group: str
    term: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class TermStart:
    """The log with which a term opened.

    Attributes:
        term: The term.
        base_offset: Number of entries in the promoted slot's log.
        log_term: Term of the last of them; 0 for an empty log.
    """

    term: int
    base_offset: int
    log_term: int = 0
