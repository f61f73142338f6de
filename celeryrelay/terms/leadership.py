"""Decision whether a server led its database group when it replied.

On some platforms a promotion doesn't depose the old primary: it goes on
accepting writes until it learns of the new one. So a reply of a primary is
used only if evidence that was gathered after it shows that no other server of
the group led before.

Two kinds of evidence rule out another server: it denied to be the primary, or
no promotion order that may still take effect names it. Daemons name the servers
that an order may promote in the store before they send the order, so a read of
that record that follows the reply covers all orders that could have taken
effect before the reply.

The decision answers the load of one check for each reply of a primary.
"""

import dataclasses
import enum
from collections import abc


class Verdict(enum.StrEnum):
    """What the evidence says about a server that replied as a primary.

    Attributes:
        leads: No other server led the group when it replied.
        superseded: Another server leads a newer term.
        unknown: The evidence does not rule out another primary.
    """

    leads = 'leads'
    superseded = 'superseded'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of a group after a reply of one of its servers.

    Attributes:
        others: The other known servers of the group.
        all_known: Whether no server of the group is missing from `others`.
        replicas: Servers that denied to be the primary.
        rival_terms: Terms of the other servers that claim to be the primary.
        own_term: Term of the server that replied; None if it was not asked.
        candidates: Servers that an order may still make the primary, None if
            the record of orders was not read.
    """

    others: frozenset[str]
    all_known: bool = True
    replicas: frozenset[str] = frozenset()
    rival_terms: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    own_term: int | None = None
    candidates: frozenset[str] | None = None


def decide(server_id: str, evidence: Evidence) -> Verdict:
    """Return whether `server_id` led its group when it replied."""
    own_term = evidence.own_term
    outdated = set(evidence.replicas)
    if own_term is not None:
        for rival, term in evidence.rival_terms.items():
            if term > own_term:
                return Verdict.superseded
            if term < own_term:
                outdated.add(rival)
    if evidence.all_known and evidence.others <= outdated:
        return Verdict.leads
    candidates = evidence.candidates
    if candidates is not None and candidates - {server_id} <= outdated:
        return Verdict.leads
    return Verdict.unknown
