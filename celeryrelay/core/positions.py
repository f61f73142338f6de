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
    """The offset at which a term opened."""

    term: int
    base_offset: int
