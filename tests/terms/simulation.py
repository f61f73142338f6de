"""Simulated group around the real guard and failover, and a naive checker.

The checker sees every process at once. It is told true times, and knows
nothing of windows, confirmations or waits.
"""

import dataclasses
import heapq
import random

from celeryrelay.conf import sets, settings
from celeryrelay.terms import (
    failover,
    failover_messages,
    records,
    write_permission,
)

END_S = 4.0
TIMEOUT_S = 0.3
READ_INTERVAL_S = 0.15
WRITE_INTERVAL_S = 0.07
TICK_S = 0.02


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """`kind` acts on `subject` (and `other`) during a time span.

    A `split` cuts the names in `side` off from all others.
    """

    kind: str
    subject: str
    other: str
    start: float
    end: float
    side: frozenset = frozenset()

    def acts_on(self, kind, subject, other):
        if kind == 'cut' and self.kind == 'split':
            return (subject in self.side) != (other in self.side)
        names = {self.subject, self.other, ''}
        return kind == self.kind and {subject, other} <= names


class Slot:
    def __init__(self, name, primary):
        self.name = name
        self.term = 1
        self.follows = primary
        self.log = []

    @property
    def log_term(self):
        return self.log[-1][0] if self.log else 0

    def commit(self, term, write):
        if self.term != term or self.follows != self.name:
            return None
        self.log.append((term, write))
        return len(self.log)

    def status(self):
        return self.term, len(self.log), self.log_term

    def raise_term(self, term):
        if term < self.term:
            return None
        if term > self.term:
            self.term = term
            self.follows = ''
        return self.log_term, len(self.log)

    def promote(self, term):
        if term < self.term:
            return None
        self.term = term
        self.follows = self.name
        return len(self.log)

    def follow(self, term, primary):
        if term < self.term or primary.term != term:
            return None
        if primary.follows != primary.name:
            return None
        self.term = term
        self.follows = primary.name
        while self.log != primary.log[: len(self.log)]:
            self.log.pop()
        return True


class Checker:
    """Records broken promises."""

    def __init__(self):
        self.faults = []
        self.opened = []
        self.promoted = {}
        self.replicated = []
        self.told = 0
        self.told_late = 0

    def on_promoted(self, term, slot):
        known = self.promoted.setdefault(term, (slot.name, tuple(slot.log)))
        if known[0] != slot.name:
            self.faults.append('two primaries in term {0}'.format(term))

    def on_opened(self, term):
        log = set(self.promoted[term][1])
        self.opened.append((term, log))
        for entry in self.replicated:
            if entry[0] < term and entry not in log:
                self.faults.append('replicated write is lost')

    def on_told(self, entry, must_survive):
        self.told += 1
        later = [log for term, log in self.opened if term > entry[0]]
        self.told_late += bool(later)
        if later and entry not in later[0]:
            self.faults.append('acknowledged by a replaced primary')
        if must_survive:
            self.replicated.append(entry)
            if any(entry not in log for log in later):
                self.faults.append('replicated write is lost')


class World:
    def __init__(self, slot_count, rates, disturbances, seed):
        self.now = 0
        self.names = ['s{0}'.format(number) for number in range(slot_count)]
        self.slots = {name: Slot(name, 's0') for name in self.names}
        self.record = records.initial('g', 's0')
        self.revision = 1
        self.checker = Checker()
        self.rates = rates
        self.disturbances = disturbances
        self.random = random.Random(seed)
        self.finished = 0
        self._queue = []
        self._count = 0

    def local(self, node):
        return 1000 + self.now * self.rates.get(node, 1)

    def at(self, time, action, *args):
        self._count += 1
        heapq.heappush(self._queue, (time, self._count, action, args))

    def run(self):
        while self._queue and self._queue[0][0] < END_S:
            self.now, _, action, args = heapq.heappop(self._queue)
            action(*args)

    def active(self, kind, subject, other=''):
        return [
            item
            for item in self.disturbances
            if item.start <= self.now < item.end
            and item.acts_on(kind, subject, other)
        ]

    def wake(self, node, action, *args):
        """Run an action of a node, after its pause if it is paused."""
        pauses = self.active('pause', node)
        if pauses:
            end = max(item.end for item in pauses)
            self.at(end, self.wake, node, action, *args)
        else:
            action(*args)

    def delay(self, target):
        slow = 0.2 if self.active('slow', target) else 0
        return self.random.uniform(0.001, 0.02) + slow

    def call(self, node, target, request, on_answer):
        """Call `target`; `on_answer` gets None if no answer comes in time."""
        answered = []

        def arrive():
            if self.active('cut', node, target) or self.active('dead', target):
                return
            frozen = self.active('pause', target)
            if frozen:
                self.at(max(item.end for item in frozen), arrive)
                return
            answer = request()
            if not self.active('lose', target):
                self.at(self.now + self.delay(target), back, answer)

        def back(answer):
            if not self.active('cut', node, target):
                self.wake(node, settle, answer)

        def settle(answer):
            if not answered:
                answered.append(True)
                on_answer(answer)

        self.at(self.now + self.delay(target), arrive)
        self.at(self.now + TIMEOUT_S, self.wake, node, settle, None)

    def read(self):
        return ('read', self.record, self.revision)

    def swap(self, record, expected):
        if self.revision != expected:
            return ('conflict', self.record, self.revision)
        self.record = record
        self.revision += 1
        if record.state is records.TermState.open:
            self.checker.on_opened(record.term)
        return ('stored', record, self.revision)

    def replicate(self, name):
        slot = self.slots[name]
        primary = self.slots.get(slot.follows)
        is_up = not (
            self.active('dead', name)
            or self.active('pause', name)
            or self.active('lag', name)
        )
        if primary and primary is not slot and is_up:
            is_primary = primary.follows == primary.name
            is_cut = self.active('cut', name, primary.name)
            is_dead = self.active('dead', primary.name)
            same_term = primary.term == slot.term
            if is_primary and same_term and not is_cut and not is_dead:
                slot.log = primary.log[: len(slot.log) + 3]
        self.at(
            self.now + self.random.uniform(0.005, 0.05), self.replicate, name
        )


class Holder:
    def __init__(self, world, name, config, durability):
        self.world = world
        self.name = name
        self.guard = write_permission.WritePermissions(config, len(world.names))
        self.durability = durability
        self.writes = 0

    def read(self):
        sent_at = self.world.local(self.name)

        def on_answer(answer):
            if answer:
                self.guard.observe(answer[1], sent_at)

        self.world.call(self.name, 'store', self.world.read, on_answer)
        self.world.at(
            self.world.now + READ_INTERVAL_S,
            self.world.wake,
            self.name,
            self.read,
        )

    def write(self):
        permission = self.guard.permission(self.world.local(self.name))
        if not isinstance(permission, write_permission.SendRefused):
            self._send(permission.term, permission.primary)
        self.world.at(
            self.world.now + WRITE_INTERVAL_S,
            self.world.wake,
            self.name,
            self.write,
        )

    def _send(self, term, primary):
        self.writes += 1
        write = '{0}/{1}'.format(self.name, self.writes)
        slot = self.world.slots[primary]

        def on_answer(offset):
            if offset is not None:
                self._settle((term, write), offset, [], 3)

        self.world.call(
            self.name,
            primary,
            lambda: slot.commit(term, write),
            on_answer,
        )

    def _settle(self, entry, offset, answers, attempts):
        """Ask the guard, and the slots as long as it is not content."""
        now = self.world.local(self.name)
        verdict = self.guard.ack_permission(
            entry[0],
            self.durability,
            now,
            answers,
            offset,
        )
        if isinstance(verdict, write_permission.AckPermitted):
            delay = self.world.random.choice((0, 0.02, 0.3))
            self.world.at(
                self.world.now + delay,
                self.world.wake,
                self.name,
                self._tell,
                entry,
                verdict.until,
            )
        elif attempts:
            self._ask(entry, offset, attempts)

    def _ask(self, entry, offset, attempts):
        answers = []
        done = []

        def on_answer(name, sent_at, status):
            done.append(name)
            if status:
                term, applied, log_term = status
                answers.append(
                    write_permission.Confirmation(
                        name, term, applied, log_term, sent_at
                    ),
                )
            if len(done) == len(self.world.names):
                self._settle(entry, offset, answers, attempts - 1)

        for name in self.world.names:
            sent_at = self.world.local(self.name)
            self.world.call(
                self.name,
                name,
                self.world.slots[name].status,
                lambda status, name=name, sent_at=sent_at: on_answer(
                    name,
                    sent_at,
                    status,
                ),
            )

    def _tell(self, entry, until):
        if until is None or self.world.local(self.name) < until:
            must_survive = self.durability is sets.Durability.replicated
            self.world.checker.on_told(entry, must_survive or until is None)


class Promoter:
    def __init__(self, world, name, config):
        self.world = world
        self.name = name
        self.config = config
        self.machine = None

    def start(self):
        def on_answer(answer):
            if answer is None:
                return
            self.machine = failover.FailoverStateMachine(
                self.config, self.world.names
            )
            seen_at = self.world.local(self.name)
            self._handle(failover_messages.Start(answer[1], answer[2], seen_at))
            self._tick()

        self.world.call(self.name, 'store', self.world.read, on_answer)

    def _tick(self):
        if self.machine.phase in {'finished', 'given_up'}:
            return
        self._handle(failover_messages.Tick())
        self.world.at(
            self.world.now + TICK_S,
            self.world.wake,
            self.name,
            self._tick,
        )

    def _handle(self, event):
        now = self.world.local(self.name)
        for command in self.machine.handle(event, now):
            self._carry_out(command)

    def _carry_out(self, command):
        world = self.world
        match command:
            case failover_messages.SwapRecord(record, expected):
                self._call_store(lambda: world.swap(record, expected))
            case failover_messages.ReadRecord():
                self._call_store(world.read)
            case failover_messages.RaiseTerm(name, term):
                slot = world.slots[name]
                self._call_slot(
                    name,
                    lambda: slot.raise_term(term) or ('refused',),
                    lambda position: failover_messages.RaiseTermAnswered(
                        name, term, *position
                    ),
                    failover_messages.RaiseTermFailed(name, term),
                    term,
                )
            case failover_messages.PromoteSlot(name, term):
                self._call_slot(
                    name,
                    lambda: self._promote(name, term),
                    lambda applied: failover_messages.PromoteAnswered(
                        name, term, *applied
                    ),
                    failover_messages.PromoteFailed(name, term),
                    term,
                )
            case failover_messages.FollowPrimary(name, term, primary):
                self._call_slot(
                    name,
                    lambda: self._follow(name, term, primary),
                    lambda _: failover_messages.FollowAnswered(name, term),
                    failover_messages.FollowFailed(name, term),
                    term,
                )
            case failover_messages.Finished():
                world.finished += 1

    def _promote(self, name, term):
        slot = self.world.slots[name]
        applied = slot.promote(term)
        if applied is None:
            return ('refused',)
        self.world.checker.on_promoted(term, slot)
        return (applied,)

    def _follow(self, name, term, primary):
        is_cut = self.world.active('cut', name, primary)
        if is_cut or self.world.active('dead', primary):
            return None
        slots = self.world.slots
        return slots[name].follow(term, slots[primary])

    def _call_store(self, request):
        def on_answer(answer):
            match answer:
                case None:
                    event = failover_messages.StoreAnswerLost()
                case ('stored', record, revision):
                    event = failover_messages.SwapStored(record, revision)
                case ('conflict', record, revision):
                    event = failover_messages.SwapConflict(record, revision)
                case (_, record, revision):
                    event = failover_messages.RecordRead(record, revision)
            self._handle(event)

        self.world.call(self.name, 'store', request, on_answer)

    def _call_slot(self, name, request, answered, failed, term):
        def on_answer(answer):
            if answer is None:
                self._handle(failed)
            elif answer == ('refused',):
                self._handle(failover_messages.SlotRefused(name, term))
            else:
                self._handle(answered(answer))

        self.world.call(self.name, name, request, on_answer)


def simulate(slot_count, rates, disturbances, starts, seed):
    """Run one schedule and return the world at its end."""
    world = World(slot_count, rates, disturbances, seed)
    config = settings.TermSettings()
    durabilities = (sets.Durability.local, sets.Durability.replicated)
    for number, durability in enumerate((*durabilities, *durabilities)):
        holder = Holder(world, 'h{0}'.format(number), config, durability)
        world.at(0.001 * number, holder.read)
        world.at(0.05 + 0.001 * number, holder.write)
    for name in world.names:
        world.at(0, world.replicate, name)
    for number, start in enumerate(starts):
        promoter = Promoter(world, 'p{0}'.format(number), config)
        world.at(start, world.wake, promoter.name, promoter.start)
    world.run()
    return world
