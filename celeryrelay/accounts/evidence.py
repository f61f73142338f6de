"""Evidence that the configuration in force is the newest one of the store.

Answers the withdrawal of an API key while a daemon is cut off from the store:
without recent evidence, it runs no statement that needs a key.

Evidence is a linearizable read of the configuration, dated at the time when the
read was sent on the daemon's own clock. A configuration that was acknowledged
before that is in the response. This module does no I/O.
"""

import dataclasses
import math
import typing

# Part of the permitted age that covers the difference in rate between the clock
# of the daemon, or of a daemon that it asked, and true time. A time service slews
# a clock by up to 500 ppm, and a crystal is off by up to 200 ppm.
CLOCK_RATE_MARGIN = 0.01


class PeerEvidence(typing.NamedTuple):
    """Evidence of another daemon, at the time of its answer.

    Attributes:
        version: Version of the configuration that was read.
        age_s: Age of the read in seconds; None if there was no read.
        newest_version: Newest version that the daemon has heard of.
    """

    version: int
    age_s: float | None
    newest_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationEvidence:
    """What a daemon knows about the newest configuration.

    Attributes:
        max_age_s: Age in seconds up to which the evidence permits statements.
        in_force: Version of the configuration in force; 0 before the first.
        newest_version: Newest version that the daemon has heard of.
        confirmed_at: Time in seconds at which the newest read that counts was
            sent, None before the first one.
        confirmed_version: Version that this read returned.
    """

    max_age_s: float
    in_force: int = 0
    newest_version: int = 0
    confirmed_at: float | None = None
    confirmed_version: int = 0

    def on_configuration(self, version: int) -> 'ConfigurationEvidence':
        """Record the version in force."""
        return dataclasses.replace(
            self,
            in_force=max(self.in_force, version),
            newest_version=max(self.newest_version, version),
        )

    def on_confirmed(
        self, sent_at: float, version: int
    ) -> 'ConfigurationEvidence':
        """Record a linearizable read of this daemon.

        A version below one that is known comes from a store that was restored
        from an older copy, and does not count.

        Args:
            sent_at: Time in seconds at which the read was sent.
            version: Version that the store returned; it is in force.
        """
        if version < self.newest_version or version != self.in_force:
            return self
        return self._confirm(sent_at, version)

    def on_answer(
        self, asked_at: float, answer: PeerEvidence
    ) -> 'ConfigurationEvidence':
        """Record the answer of another daemon.

        It was given after the question was sent, so the read of the other
        daemon is at least as new as the question less the age. Neither the
        other clock nor the time in transit matters.

        Args:
            asked_at: Time in seconds at which this daemon asked.
            answer: The evidence of the other daemon.
        """
        heard = dataclasses.replace(
            self,
            newest_version=max(
                self.newest_version, answer.version, answer.newest_version
            ),
        )
        # A configuration that this daemon hasn't received may withdraw a key.
        is_behind = self.in_force < max(answer.version, 1)
        if not _is_age(answer.age_s) or is_behind:
            return heard
        return heard._confirm(asked_at - answer.age_s, answer.version)

    def answer(self, now: float) -> PeerEvidence:
        """Return the evidence for another daemon.

        Args:
            now: Time in seconds.
        """
        return PeerEvidence(
            self.confirmed_version, self.age_s(now), self.newest_version
        )

    def age_s(self, now: float) -> float | None:
        """Return the age of the evidence in seconds, None without any."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def permits(self, now: float) -> bool:
        """Return whether statements with an API key may run.

        Args:
            now: Time in seconds, read after the statement was received.
        """
        age_s = self.age_s(now)
        return age_s is not None and age_s <= self.max_age_s

    def _confirm(self, sent_at: float, version: int) -> 'ConfigurationEvidence':
        if self.confirmed_at is not None and sent_at <= self.confirmed_at:
            return self
        return dataclasses.replace(
            self, confirmed_at=sent_at, confirmed_version=version
        )


def _is_age(age_s: float | None) -> bool:
    return age_s is not None and 0 <= age_s < math.inf


def max_age_s(revoke_s: float) -> float:
    """Return the age up to which evidence permits statements, in seconds.

    Args:
        revoke_s: Time in seconds after which a withdrawn key may not be used.
    """
    return revoke_s * (1 - CLOCK_RATE_MARGIN)
