"""Shares the limits of targets and the permits to send with siblings.

Each limited target has an owner among the live VMs, chosen by rendezvous
hashing, which issues permits at the rate that the target has named. Every
other VM asks the owner with a datagram. A VM that cannot reach the owner, or
sees fewer than half of the VMs, gets no answer; it then sends at a part of an
equal share, so that the sum over all VMs stays within the limit of a target.
"""

from __future__ import annotations

import itertools
import json
import math
import random
import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.targets import limits

ASK_SECONDS = 0.15
"""How long an answer of the owner is awaited, in seconds. The latency between
regions is 12 ms each way."""
ASK_ATTEMPTS = 2
"""How often the owner is asked, as datagrams may be lost."""
MAX_ANSWERS = 4096
"""Most answers that are kept for questions that are asked again."""
EXCLUDED_SECONDS = 1.0
"""How long an owner that did not answer is not asked again, in seconds."""

_COLD_PREFIX = 'cold|'
"""Before the name of a target in the subject of an entry that says that it is
cold until the entry expires."""

_LOGGER = core.get_logger('siblings')


class PermitSiblings(siblings.EntrySiblings, typing.Protocol):
    """The siblings with which limits and permits are shared."""

    @property
    def members(self) -> dict[str, siblings.Member]:
        """Known entry VMs by name, this one included."""
        ...

    def choose_owner(self, subject: str) -> str:
        """Return the name of the live VM that owns a subject."""
        ...

    def count_sharing_vms(self, assumed: int) -> int:
        """Return the number of VMs that share the limits of a deployment."""
        ...

    def send_permits(
        self,
        address: str,
        message: siblings.PermitAsk | siblings.PermitReply,
    ) -> None:
        """Send a question for permits without waiting."""
        ...


@attrs.define(eq=False)
class _Question:
    """A question that the owner has not answered yet."""

    answered: anyio.Event = attrs.field(factory=anyio.Event)
    reply: siblings.PermitReply | None = None


class PermitExchange:
    """Requests and issues permits, as `limits.PermitSource`.

    Args:
        vm_name: Name of this VM.
        neighbours: The siblings.
        target_limits: The limits known to this VM.
        issuer: Issues the permits of the targets that this VM owns.
        clock: Clock of the permits.
        assumed_vms: Number of VMs as long as no sibling was heard of; 1 for a
            VM that has none.
    """

    def __init__(
        self,
        vm_name: str,
        neighbours: PermitSiblings,
        target_limits: limits.TargetLimits,
        issuer: limits.PermitIssuer,
        clock: core.Clock,
        assumed_vms: int,
    ) -> None:
        self._vm_name = vm_name
        self._neighbours = neighbours
        self._target_limits = target_limits
        self._issuer = issuer
        self._clock = clock
        self._assumed_vms = assumed_vms
        # A VM that starts again must not get answers to its earlier
        # questions.
        self._sequence = itertools.count(random.getrandbits(48))
        self._answers: dict[tuple[str, str], siblings.PermitReply] = {}
        self._questions: dict[int, _Question] = {}
        self._excluded_until: dict[str, float] = {}
        target_limits.subscribe_answers(self._publish)
        target_limits.cold.subscribe_answers(self._publish_cold)
        neighbours.subscribe(siblings.EntryKind.LIMIT, self._handle_entry)

    def count_vms(self) -> int:
        """Return the number of VMs that share a limit."""
        return self._neighbours.count_sharing_vms(self._assumed_vms)

    def owns(self, target: str) -> bool:
        """Return whether this VM issues the permits of a target."""
        return self._choose_owner(target) == self._vm_name

    async def request(
        self, wanted: limits.PermitRequest
    ) -> limits.PermitResult:
        """Request permits from the VM that issues those of a target."""
        if not self._sees_majority():
            return limits.Unanswered()
        owner = self._choose_owner(wanted.target)
        if owner == self._vm_name:
            return self._issuer.issue(wanted, self._vm_name)
        member = self._neighbours.members.get(owner)
        now = self._clock.now()
        if member is None or now < self._excluded_until.get(owner, 0.0):
            return limits.Unanswered()
        sequence = next(self._sequence)
        for _ in range(ASK_ATTEMPTS):
            reply = await self._ask(member.address, sequence, wanted)
            if reply is not None:
                return _make_answer(reply)
        self._excluded_until[owner] = self._clock.now() + EXCLUDED_SECONDS
        _LOGGER.info(
            'permits are not answered; target=%s owner=%s',
            wanted.target,
            owner,
        )
        return limits.Unanswered()

    def receive(
        self, message: siblings.PermitAsk | siblings.PermitReply
    ) -> list[siblings.SiblingMessage]:
        """Handle a question or an answer of a sibling; return the answers."""
        match message:
            case siblings.PermitAsk():
                return self._answer(message)
            case siblings.PermitReply():
                question = self._questions.get(message.sequence)
                if question is not None and math.isfinite(message.until):
                    question.reply = message
                    question.answered.set()
                return []
            case _:
                typing.assert_never(message)

    def _choose_owner(self, target: str) -> str:
        return self._neighbours.choose_owner(f'limit|{target}')

    def _sees_majority(self) -> bool:
        """Return whether this VM sees more than half of the known VMs.

        Otherwise two parts of a divided fleet would both issue all permits.
        """
        states = [item.state for item in self._neighbours.members.values()]
        live = states.count(siblings.MemberState.LIVE)
        failed = states.count(siblings.MemberState.FAILED)
        if len(states) <= 1:
            return self.count_vms() == 1
        return live > failed

    async def _ask(
        self, address: str, sequence: int, wanted: limits.PermitRequest
    ) -> siblings.PermitReply | None:
        """Ask the owner once; return its answer, or None if there is none."""
        question = self._questions[sequence] = _Question()
        self._neighbours.send_permits(
            address,
            siblings.PermitAsk(
                sequence,
                self._vm_name,
                wanted.target,
                wanted.limit.rate,
                wanted.limit.named_at,
                wanted.count,
            ),
        )
        try:
            await core.wait_until(
                self._clock,
                question.answered,
                self._clock.now() + ASK_SECONDS,
            )
        finally:
            del self._questions[sequence]
        return question.reply

    def _answer(
        self, ask: siblings.PermitAsk
    ) -> list[siblings.SiblingMessage]:
        limit = _make_limit(ask.rate, ask.named_at)
        if limit is None or not 0 < ask.count:
            _LOGGER.warning('malformed question for permits; vm=%.64s', ask.vm)
            return []
        # A question that is asked again, because its answer was lost, must
        # not take further permits.
        reply = self._answers.get((ask.vm, ask.target))
        if reply is None or reply.sequence != ask.sequence:
            wanted = limits.PermitRequest(ask.target, limit, ask.count)
            answer = self._issuer.issue(wanted, ask.vm)
            reply = _make_reply(ask.sequence, answer)
            if len(self._answers) >= MAX_ANSWERS:
                self._answers.clear()
            self._answers[ask.vm, ask.target] = reply
        return [reply]

    def _publish(self, target: str, named: limits.KnownLimit) -> None:
        self._neighbours.publish(
            siblings.EntryKind.LIMIT,
            target,
            json.dumps([named.rate]).encode(),
            named.named_at + limits.LIMIT_SECONDS,
        )

    def _publish_cold(self, target: str, until: float) -> None:
        self._neighbours.publish(
            siblings.EntryKind.LIMIT,
            _COLD_PREFIX + target,
            json.dumps([None]).encode(),
            until,
        )

    def _handle_entry(self, entry: siblings.GossipEntry) -> None:
        if entry.origin == self._vm_name:
            return
        match entry.value:
            case siblings.DataValue() if entry.subject.startswith(
                _COLD_PREFIX
            ):
                target = entry.subject.removeprefix(_COLD_PREFIX)
                self._target_limits.cold.merge(target, entry.expires_at)
            case siblings.DataValue(data):
                named_at = entry.expires_at - limits.LIMIT_SECONDS
                limit = _decode_limit(data, named_at)
                if limit is None:
                    _LOGGER.warning(
                        'malformed limit; target=%.64s vm=%.64s',
                        entry.subject,
                        entry.origin,
                    )
                    return
                self._target_limits.merge(entry.subject, limit, entry.origin)


def _make_reply(
    sequence: int, answer: limits.PermitAnswer
) -> siblings.PermitReply:
    match answer:
        case limits.Granted(count=count, until=until):
            return siblings.PermitReply(sequence, count, until)
        case limits.Withheld(until=until):
            return siblings.PermitReply(sequence, 0, until)
        case _:
            typing.assert_never(answer)


def _make_answer(reply: siblings.PermitReply) -> limits.PermitAnswer:
    if reply.count > 0:
        return limits.Granted(reply.count, reply.until)
    return limits.Withheld(reply.until)


def _make_limit(
    rate: float | None, named_at: float
) -> limits.KnownLimit | None:
    """Return a limit that a sibling sent, or None if it is malformed."""
    if not math.isfinite(named_at):
        return None
    if rate is not None and not limits.MIN_RATE <= rate <= limits.MAX_RATE:
        return None
    return limits.KnownLimit(rate, named_at)


def _decode_limit(data: bytes, named_at: float) -> limits.KnownLimit | None:
    try:
        (rate,) = core.parse_json(data)
        return _make_limit(None if rate is None else float(rate), named_at)
    except (OverflowError, TypeError, ValueError):
        return None
