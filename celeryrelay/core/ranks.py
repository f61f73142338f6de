"""Ranks of work, most urgent first."""

import enum


class Rank(enum.StrEnum):
    """Rank of a statement."""

    bookings = 'bookings'
    checks = 'checks'
    reports = 'reports'


BY_URGENCY = tuple(Rank)
