"""Ranks of statements, which determine their priority."""

import enum


class Rank(enum.StrEnum):
    """Rank of a statement, from most to least urgent."""

    bookings = 'bookings'
    checks = 'checks'
    reports = 'reports'


BY_URGENCY = tuple(Rank)
