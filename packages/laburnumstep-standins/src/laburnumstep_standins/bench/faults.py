"""Injects faults under load and checks the outcomes reported to callers."""

from __future__ import annotations

import collections
import random
import signal
import time

import anyio
import attrs

from laburnumstep_standins.bench import figures
from laburnumstep_standins.bench import fleet
from laburnumstep_standins.bench import workload
from laburnumstep_standins import caller
from laburnumstep_standins import processes

GENERATIONS_PER_SECOND = 12.0
"""Rate of generation requests."""
POSTINGS_PER_SECOND = 15.0
"""Rate of posting requests."""
_REQUEST_TIMEOUT_SECONDS = 12.0
"""Time from a request to its deadline, in seconds."""
_MAX_POSTING_ATTEMPTS = 8
_RESEND_SECONDS = 0.3
_CRASHED_ENGINE = 'engine-3'
_STALLED_ENGINE = 'engine-4'
_DUPLICATING_ENGINE = 'engine-5'


@attrs.define
class Row:
    """Outcomes reported to callers, and incorrect outcomes, in one run."""

    seed: int
    """Random seed of the arrivals."""
    streams: int = 0
    """Generations that were requested."""
    whole: int = 0
    """Streams that ended with `done`."""
    resumed: int = 0
    """Streams that were resumed on another VM."""
    told: int = 0
    """Streams that ended with an error object."""
    broken_streams: int = 0
    """Streams with a lost or duplicate token or a token of another
    generation, and streams that ended with neither `done` nor an error."""
    calls: int = 0
    """Postings that were requested."""
    ran: int = 0
    """Postings reported to their callers as `ran`."""
    unknown: int = 0
    """Postings whose outcome was still unknown after the last resend."""
    not_run: int = 0
    """Requests reported to their callers as `not_run`."""
    duplicate_effects: int = 0
    """Effects after the first one of each key."""
    false_not_run: int = 0
    """Requests that ran although they were reported as `not_run`."""
    false_ran: int = 0
    """Postings without an effect although they were reported as `ran`."""


class _FaultRun:
    """Sends requests during a fault run and counts their outcomes."""

    def __init__(self, vms: fleet.Fleet, seed: int) -> None:
        self.row = Row(seed)
        self._vms = vms
        self._rng = random.Random(seed)
        self._ran_keys: set[str] = set()
        self._not_run_keys: set[str] = set()
        self._not_run_prompts: set[str] = set()

    async def send_requests(self, seconds: float) -> None:
        """Send requests with Poisson arrivals and wait for their answers.

        Args:
            seconds: Duration in which requests are sent.
        """
        end = time.monotonic() + seconds
        rate = GENERATIONS_PER_SECOND + POSTINGS_PER_SECOND
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < end:
                await anyio.sleep(self._rng.expovariate(rate))
                if self._rng.random() * rate < GENERATIONS_PER_SECOND:
                    tasks.start_soon(
                        self._request_generation, self.row.streams
                    )
                    self.row.streams += 1
                else:
                    tasks.start_soon(self._send_posting, self.row.calls)
                    self.row.calls += 1

    async def check_outcomes(self) -> None:
        """Count outcomes that contradict what the stand-ins ran.

        The engine that crashed during the run is left out: it no longer
        answers.
        """
        reply = await self._vms.fetch('service-0', '/effects')
        effects = collections.Counter(reply['effects'])
        self.row.duplicate_effects = sum(n - 1 for n in effects.values())
        self.row.false_not_run = len(self._not_run_keys & set(effects))
        self.row.false_ran = len(self._ran_keys - set(effects))
        for name in self._vms.platform.addresses:
            if not name.startswith('engine-') or name == _CRASHED_ENGINE:
                continue
            starts = await self._vms.fetch(name, '/starts')
            prompts = {start['prompt'] for start in starts}
            self.row.false_not_run += len(self._not_run_prompts & prompts)

    async def _request_generation(self, number: int) -> None:
        prompt = f'Letter {number} of seed {self.row.seed}'
        body = {
            'model': workload.MODEL,
            'prompt': prompt,
            'max_tokens': fleet.ENGINE.max_length,
        }
        answer = caller.Answer()
        client = self._vms.open_caller()
        deadline = time.time() + _REQUEST_TIMEOUT_SECONDS
        try:
            await client.generate(body, deadline, answer)
        except caller.Broken as error:
            print(f'stream {number} is broken: {error}')
            self.row.broken_streams += 1
            return
        finally:
            await client.close()
        self.row.resumed += answer.resumed > 0
        if answer.whole:
            self.row.whole += 1
        elif answer.error is None:
            print(
                f'stream {number} ended after {answer.position} tokens and'
                f' {answer.resumed} resumes with neither done nor error'
            )
            self.row.broken_streams += 1
        else:
            self.row.told += 1
            if answer.error['outcome'] == 'not_run':
                self.row.not_run += 1
                self._not_run_prompts.add(prompt)

    async def _send_posting(self, number: int) -> None:
        body = {
            'service': fleet.SERVICE,
            'operation': 'post',
            'payload': {'number': number},
        }
        client = self._vms.open_caller()
        key = client.issue_key()
        deadline = time.time() + _REQUEST_TIMEOUT_SECONDS
        try:
            for _ in range(_MAX_POSTING_ATTEMPTS):
                reply = await client.call(body, key, deadline)
                match reply.outcome:
                    case 'ran':
                        self.row.ran += 1
                        self._ran_keys.add(str(key))
                        return
                    case 'not_run':
                        # Final for this key: a caller that tries again
                        # issues a new one.
                        self.row.not_run += 1
                        self._not_run_keys.add(str(key))
                        return
                    case _:
                        await anyio.sleep(_RESEND_SECONDS)
            self.row.unknown += 1
        finally:
            await client.close()


async def _inject_faults(vms: fleet.Fleet, seconds: float) -> None:
    """Inject faults at multiples of an eighth of the run.

    Some faults are active at the same time.
    """
    interval = seconds / 8
    await anyio.sleep(interval)
    await vms.control('service-0', lost_replies=5)
    await vms.control(
        _DUPLICATING_ENGINE, repeat_events=50, duplicate_last_token=True
    )
    await anyio.sleep(interval)
    killed, paused = vms.vms[:2]
    await vms.kill(killed)
    await vms.control('service-1', lost_replies=5)
    replacement = await vms.add_vm()
    await processes.wait_until_ready(replacement.addresses['callers'])
    await anyio.sleep(interval)
    await vms.control(_STALLED_ENGINE, stall=True)
    paused.send_signal(signal.SIGSTOP)
    await anyio.sleep(interval)
    paused.send_signal(signal.SIGCONT)
    await vms.control(_STALLED_ENGINE, stall=False)
    await vms.control('log', outage=True)
    await vms.control(_CRASHED_ENGINE, crash=True)
    await anyio.sleep(interval)
    await vms.control('log', outage=False, lost_replies=5)


async def measure(vms: fleet.Fleet, seed: int, seconds: float) -> Row:
    """Run requests and faults on a fleet and print the resulting row.

    One VM is killed and replaced, another is paused and resumed.

    Args:
        vms: Fleet of at least two VMs.
        seed: Random seed of the arrivals.
        seconds: Duration of the run.

    Returns:
        Reported outcomes and incorrect outcomes.
    """
    run = _FaultRun(vms, seed)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_inject_faults, vms, seconds)
        await run.send_requests(seconds)
    await run.check_outcomes()
    figures.print_table(f'Faults, {seconds:g} s', [run.row])
    return run.row
