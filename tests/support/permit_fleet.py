"""VMs that share the limit of one target, without a network."""

from __future__ import annotations

import functools
import math
import random
import typing

import anyio
import anyio.lowlevel
from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import siblings
from laburnumstep.targets import limits

TARGET = 'limited'
SERVICE = 'app'
"""Name of the service of the target."""
STEP_SECONDS = 0.05
"""Time by which the clock advances between two rounds of arrivals."""
PASSES_A_STEP = 8
"""Passes of the event loop in which a request and its permit are handled."""
DETECTION_SECONDS = 3.0
"""Time until membership has noticed a fault, in seconds."""
WINDOW_SECONDS = 4.0
"""Length of the windows in which arrivals are counted, in seconds."""
SETTLE_SECONDS = 4.0
"""Time after the first word of the target from which its limit has to be
kept, in seconds."""
TOLERANCE = 1.5
"""Factor on the limit up to which it counts as kept."""
EXTRA_ARRIVALS = 5
"""Arrivals in a window that are allowed in addition."""
COLD_WINDOW_SECONDS = 1.0
"""Length of the windows in which arrivals at a cold target are counted, in
seconds."""
RAMP_SECONDS = 10.0
"""Time over which all VMs together turn to a target after its cold time, in
seconds."""
TRAVEL_SECONDS = 0.1
"""Longest time from a permit to the arrival of its request, in seconds."""


class LimitedTarget:
    """Counts the requests that reach it and names its limit in answers.

    Args:
        clock: Clock of the arrivals.
        rate: Requests a second that it takes; None for no limit.
    """

    def __init__(self, clock: core.ManualClock, rate: float | None) -> None:
        self._clock = clock
        self.started_at = clock.now()
        self.rates: list[tuple[float, float | None]] = [(clock.now(), rate)]
        self.arrivals: list[float] = []
        self.cold_rate = 0.0
        self.cold_from = 0.0
        self.cold_until = 0.0

    @property
    def rate(self) -> float | None:
        return self.rates[-1][1]

    @rate.setter
    def rate(self, rate: float | None) -> None:
        self.rates.append((self._clock.now(), rate))

    def answer(self) -> limits.LimitWord:
        self.arrivals.append(self._clock.now())
        rate = self.rate
        return limits.NoLimit() if rate is None else limits.RateLimit(rate)

    def find_cold_excess(self) -> tuple[float, int, float] | None:
        """Return the first second with too many arrivals while it was cold.

        Returns:
            Second of its end, its arrivals, and how many were allowed.
        """
        allowed = TOLERANCE * self.cold_rate + EXTRA_ARRIVALS
        arrivals = sorted(self.arrivals)
        first = 0
        for number, end in enumerate(arrivals):
            if not self.cold_from <= end < self.cold_until:
                continue
            start = max(end - COLD_WINDOW_SECONDS, self.cold_from)
            while arrivals[first] < start:
                first += 1
            found = number - first + 1
            if found > allowed:
                return end - self.started_at, found, allowed
        return None

    def count(self, start: float, end: float) -> int:
        return sum(start <= at < end for at in self.arrivals)

    def find_excess(self) -> tuple[float, int, float] | None:
        """Return the first window with too many arrivals, if any.

        Returns:
            Second of its end, its arrivals, and how many were allowed.
        """
        first = self.started_at + SETTLE_SECONDS
        for end in [at for at in self.arrivals if at >= first]:
            start = end - WINDOW_SECONDS
            rate = self._find_highest_rate(start, end)
            if rate is None:
                continue
            allowed = TOLERANCE * rate * WINDOW_SECONDS + EXTRA_ARRIVALS
            found = self.count(max(start, first), end) + 1
            if found > allowed:
                return end - self.started_at, found, allowed
        return None

    def _find_highest_rate(self, start: float, end: float) -> float | None:
        """Return the highest rate in force in a window; None for no limit."""
        ends = [at for at, _ in self.rates[1:]] + [math.inf]
        rates = [
            rate
            for (at, rate), until in zip(self.rates, ends, strict=True)
            if at <= end and until > start
        ]
        if None in rates:
            return None
        return max(rate for rate in rates if rate is not None)


class PermitVM:
    """One VM, as `fleet.PermitSiblings` of its exchange.

    Args:
        name: Name of the VM.
        vms: The VMs that it can reach.
    """

    def __init__(self, name: str, vms: PermitFleet) -> None:
        self.name = name
        self.fleet = vms
        self.members: dict[str, siblings.Member] = {}
        """The VMs as membership of this VM sees them."""
        self.see(name, siblings.MemberState.LIVE)
        self.listeners: list[
            typing.Callable[[siblings.GossipEntry], None]
        ] = []
        self.down = False
        self.knows = True
        """Whether it knows that the target exists."""
        self._largest_count = 1
        clock, seed = vms.clock, name
        metrics = core.Metrics(None, '')
        self.cold = limits.ColdTargets(clock, metrics)
        self.limits = limits.TargetLimits(clock, metrics, self.cold)
        self.exchange = fleet.PermitExchange(
            self.name,
            self,
            self.limits,
            limits.PermitIssuer(self.limits, clock, random.Random(seed)),
            clock,
            vms.assumed_vms,
        )
        self.gate = limits.PermitGate(
            self.limits, self.exchange, clock, metrics, random.Random(seed)
        )

    def see(self, name: str, state: siblings.MemberState) -> None:
        """Let membership of this VM see a state of a VM."""
        self.members[name] = siblings.Member(name, name, 'lima-1', state, [])

    def choose_owner(self, subject: str) -> str:
        live = siblings.MemberState.LIVE
        names = sorted(
            name for name, item in self.members.items() if item.state is live
        )
        owner = core.choose_by_rendezvous(subject, names) or self.name
        if self.name in self.fleet.rivals and len(names) > 1:
            names.remove(owner)
            return core.choose_by_rendezvous(subject, names) or self.name
        return owner

    def count_sharing_vms(self, assumed: int) -> int:
        count = len(self.members)
        self._largest_count = max(self._largest_count, count)
        if count > 1:
            return count
        return self._largest_count if self._largest_count > 1 else assumed

    def send_permits(
        self,
        address: str,
        message: siblings.PermitAsk | siblings.PermitReply,
    ) -> None:
        if not self.fleet.delivers(self.name, address):
            return
        for answer in self.fleet.vms[address].exchange.receive(message):
            if address in self.fleet.mute:
                continue
            if self.fleet.delivers(address, self.name):
                self.exchange.receive(
                    typing.cast(siblings.PermitReply, answer)
                )

    def publish(
        self,
        kind: siblings.EntryKind,
        subject: str,
        data: bytes,
        expires_at: float,
    ) -> None:
        entry = siblings.GossipEntry(
            kind,
            subject,
            self.name,
            1,
            siblings.DataValue(data),
            expires_at,
        )
        for vm in self.fleet.vms.values():
            if vm is not self and self.fleet.delivers(self.name, vm.name):
                for listener in vm.listeners:
                    listener(entry)

    def subscribe(
        self,
        kind: siblings.EntryKind,
        listener: typing.Callable[[siblings.GossipEntry], None],
    ) -> None:
        self.listeners.append(listener)

    async def send(self) -> None:
        """Send one request to the target if its limit allows it."""
        sent_at = self.fleet.clock.now()
        if self.down or not self.knows:
            return
        if await self.gate.acquire(TARGET) is not None:
            return
        if self.fleet.target.cold_rate:
            travel = self.fleet.rng.uniform(0.0, TRAVEL_SECONDS)
            self.fleet.target.arrivals.append(self.fleet.clock.now() + travel)
            return
        word = self.fleet.target.answer()
        self.limits.record_answer(TARGET, word, sent_at)


class PermitFleet:
    """The VMs, the target and the faults between them.

    Args:
        count: Number of VMs.
        rate: Requests a second that the target takes; None for no limit.
        seed: Seed of the arrivals and losses.
    """

    def __init__(self, count: int, rate: float | None, seed: int) -> None:
        self.clock = core.ManualClock()
        self.target = LimitedTarget(self.clock, rate)
        self.rng = random.Random(seed)
        self.assumed_vms = 200 if count > 1 else 1
        self.vms: dict[str, PermitVM] = {}
        self.loss = 0.0
        self.mute: set[str] = set()
        """VMs whose answers come too late."""
        self.rivals: set[str] = set()
        """VMs that take the second VM by rank for the owner."""
        self.cut: set[frozenset[str]] = set()
        self._due: list[tuple[float, typing.Callable[[], None]]] = []
        for _ in range(count):
            self.add()
        self.detect()

    def add(self) -> PermitVM:
        """Start a VM that knows only itself until it is detected."""
        vm = PermitVM(f'vm-{len(self.vms)}', self)
        self.vms[vm.name] = vm
        return vm

    def delivers(self, source: str, destination: str) -> bool:
        if self.vms[source].down or self.vms[destination].down:
            return False
        if frozenset((source, destination)) in self.cut:
            return False
        return self.rng.random() >= self.loss

    def detect(self) -> None:
        """Let the membership of each VM see who is reachable now."""
        for vm in self.vms.values():
            for name, other in self.vms.items():
                reached = not other.down and (
                    frozenset((vm.name, name)) not in self.cut
                )
                if reached:
                    vm.see(name, siblings.MemberState.LIVE)
                elif name in vm.members:
                    vm.see(name, siblings.MemberState.FAILED)

    def start_cold(
        self, rate: float, seconds: float, spread: float, known: bool
    ) -> None:
        """Let all VMs learn within some seconds that the target is cold.

        Args:
            rate: Requests a second that it takes while it is cold.
            seconds: How long it stays cold.
            spread: Time within which the VMs read its entry, in seconds.
            known: Whether the VMs have sent to the target before.
        """
        now = self.clock.now()
        self.target.cold_rate = rate
        self.target.cold_from = now
        self.target.cold_until = now + seconds
        if known:
            # Requests that were sent before all VMs knew do not count.
            self.target.cold_from += spread + TRAVEL_SECONDS + 2 * STEP_SECONDS
        starts = {SERVICE: limits.ColdStart(rate, RAMP_SECONDS)}
        entry = limits.ColdEntry(SERVICE, 1, 1, seconds)

        def learn(vm: PermitVM) -> None:
            vm.cold.apply_starts(starts)
            vm.cold.apply_entry(TARGET, entry)
            vm.knows = True

        for vm in self.vms.values():
            vm.knows = known
            delay = self.rng.uniform(0.0, spread)
            self.schedule(delay, functools.partial(learn, vm))

    def find_owner(self) -> PermitVM:
        owner = self.vms['vm-0'].choose_owner(f'limit|{TARGET}')
        return self.vms[owner]

    def divide(self, count: int) -> None:
        """Cut the first VMs off from the others."""
        names = list(self.vms)
        self.cut = {
            frozenset((first, second))
            for first in names[:count]
            for second in names[count:]
        }

    def schedule(
        self, seconds: float, action: typing.Callable[[], None]
    ) -> None:
        """Run a function after some seconds of the simulated time."""
        self._due.append((self.clock.now() + seconds, action))

    async def run(
        self,
        seconds: float,
        demand: float,
        spread: str,
        pause: float = 0.0,
    ) -> None:
        """Let callers send requests.

        Args:
            seconds: Simulated time.
            demand: Requests a second of all callers.
            spread: Whether they come at `all` VMs or at `one`.
            pause: Time without requests after each second with some, in
                seconds. Unused permits add up meanwhile.
        """
        begin = self.clock.now()
        until = self.clock.now() + seconds
        async with anyio.create_task_group() as tasks:
            while self.clock.now() < until:
                self.clock.advance(STEP_SECONDS)
                self._run_due()
                in_period = (self.clock.now() - begin) % (1.0 + pause)
                paused = in_period >= 1.0 and pause > 0.0
                mean = 0.0 if paused else demand * STEP_SECONDS
                for _ in range(self._draw_arrivals(mean)):
                    names = list(self.vms)
                    name = names[0] if spread == 'one' else None
                    vm = self.vms[name or self.rng.choice(names)]
                    tasks.start_soon(vm.send)
                for _ in range(PASSES_A_STEP):
                    await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()

    def _run_due(self) -> None:
        now = self.clock.now()
        due = [action for at, action in self._due if at <= now]
        self._due = [item for item in self._due if item[0] > now]
        for action in due:
            action()

    def _draw_arrivals(self, mean: float) -> int:
        """Return a Poisson-distributed number."""
        count, product = 0, self.rng.random()
        while product > math.exp(-mean):
            count += 1
            product *= self.rng.random()
        return count
