"""Classification of statement outcomes for accounts and metrics."""

import enum

from celeryrelay.core import errors, outcomes


class OutcomeClass(enum.StrEnum):
    """Class of a statement's final outcome."""

    done = 'done'
    failed = 'failed'
    not_run = 'not_run'
    outcome_unknown = 'outcome_unknown'


def classify(outcome: outcomes.Outcome) -> tuple[OutcomeClass, str]:
    """Return the class of `outcome` and its reason; empty if none."""
    match outcome:
        case outcomes.Done():
            return OutcomeClass.done, ''
        case outcomes.Failed():
            return OutcomeClass.failed, ''
        case outcomes.NotRun(reason=reason):
            return OutcomeClass.not_run, reason.value
        case outcomes.OutcomeUnknown(reason=reason):
            return OutcomeClass.outcome_unknown, reason.value
        case _:
            raise errors.InvariantError(
                'not an outcome: {0!r}'.format(outcome),
            )


def outcome_name(outcome_class: OutcomeClass, reason: str) -> str:
    """Return the outcome name used in batches, `<class>[:<reason>]`."""
    if reason:
        return '{0}:{1}'.format(outcome_class.value, reason)
    return outcome_class.value


def split_outcome_name(name: str) -> tuple[str, str]:
    """Return class and reason of an outcome name made by `outcome_name`."""
    outcome_class, _, reason = name.partition(':')
    return outcome_class, reason
