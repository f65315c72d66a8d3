"""Brings engines to their declared state with orders."""

from __future__ import annotations

import typing

import anyio
import attrs

from laburnumstep import core
from laburnumstep.targets import _orders_client

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep.targets import _reports

_LOGGER = core.get_logger('targets')
CHECK_SECONDS = 1.0
"""Time between comparisons of declared and reported state, in seconds."""
SETTLE_SECONDS = 60.0
"""How long an engine may take before an order is repeated, in seconds.
Loading takes long and reports lag, so a report may still show the state
before an order."""
RETRY_SECONDS = 5.0
"""Time before another try after an order failed, in seconds."""
_ORDER_SECONDS = 5.0
"""Longest time for an engine to accept an order, in seconds."""


class LeaseView(typing.Protocol):
    """Tells which leases this VM holds, as `log.LeaseKeeper` does."""

    def find_fence(self, resource: str) -> int | None:
        """Return the fencing number of a lease, None if it is not held."""
        ...


class WeightSource(typing.Protocol):
    """Fetches weights, as `weights.WeightFetcher` does."""

    async def fetch(
        self,
        model: str,
        version: str,
        target: str,
        is_wanted: collections.abc.Callable[[], bool],
    ) -> bool:
        """Wait until the store hands the weights of a model to a target."""
        ...


@attrs.frozen
class _Given:
    """An order that was given."""

    order: _orders_client.Order
    """The order."""
    again_at: float
    """When it may be given again, in epoch seconds."""


FindReport = typing.Callable[[str], '_reports.LoadReport | None']
"""Returns the newest load report of an engine."""


def compare_models(
    declared: core.EngineTarget, report: _reports.LoadReport
) -> list[_orders_client.Order]:
    """Return the orders that bring an engine to its declared state.

    Args:
        declared: The engine in the configuration in force.
        report: What the engine reports.
    """
    orders = []
    for model in declared.models:
        loaded = model in report.models
        if loaded and report.versions.get(model, '') == declared.version:
            continue
        if loaded and not declared.version:
            continue
        orders.append(_orders_client.Order(model, declared.version))
    return orders


class OrderKeeper:
    """Gives orders to the engines of one data centre under a lease.

    An order is sent only when the newest report differs from the declared
    state and this VM holds the lease by its own reading of the log. Where
    an engine ignores fencing numbers, two holders can both send; their
    orders name declared states, and the comparison is repeated after each.

    Args:
        resource: Name of the lease.
        leases: Leases that this VM holds.
        weights: Fetches the weights before an order.
        find_report: Returns the newest report of an engine.
        clock: Spaces out comparisons and repeated orders.
        metrics: Counts the orders.
    """

    def __init__(
        self,
        resource: str,
        leases: LeaseView,
        weights: WeightSource,
        find_report: FindReport,
        clock: core.Clock,
        metrics: core.Metrics,
    ) -> None:
        self._resource = resource
        self._leases = leases
        self._weights = weights
        self._find_report = find_report
        self._clock = clock
        self._metrics = metrics
        self._declared: dict[str, core.EngineTarget] = {}
        self._clients: dict[str, _orders_client.OrderClient] = {}
        self._given: dict[tuple[str, str], _Given] = {}
        self._busy: set[str] = set()

    def apply_engines(
        self, engines: collections.abc.Iterable[core.EngineTarget]
    ) -> None:
        """Take the declared engines of the configuration in force."""
        before = self._declared
        self._declared = {engine.name: engine for engine in engines}
        for name, engine in self._declared.items():
            known = before.get(name)
            if known is None or known.address != engine.address:
                self._clients[name] = _orders_client.OrderClient(
                    engine.address
                )
        for name in before.keys() - self._declared.keys():
            del self._clients[name]
        self._given = {
            key: given
            for key, given in self._given.items()
            if key[0] in self._declared
        }

    async def run(self) -> None:
        """Compare and give orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.check(tasks)
                await self._clock.sleep_until(
                    self._clock.now() + CHECK_SECONDS
                )

    def check(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start a task for each engine that needs an order.

        Args:
            tasks: Group in which the orders are carried out.
        """
        if self._leases.find_fence(self._resource) is None:
            return
        for name in self._declared:
            if name in self._busy:
                continue
            order = self._choose_order(name)
            if order is not None:
                self._busy.add(name)
                tasks.start_soon(self._carry_out, name, order)

    def _choose_order(self, name: str) -> _orders_client.Order | None:
        """Return the next order for an engine, if one is due."""
        declared = self._declared.get(name)
        report = self._find_report(name)
        # An engine without a report may be down, and one that leaves is
        # not worth a fetch of weights.
        if declared is None or report is None or declared.leaving:
            return None
        now = self._clock.now()
        for order in compare_models(declared, report):
            given = self._given.get((name, order.model))
            if given and given.order == order and now < given.again_at:
                continue
            return order
        return None

    async def _carry_out(self, name: str, order: _orders_client.Order) -> None:
        """Fetch the weights of an order, then send it if it still holds."""
        try:
            await self._weights.fetch(
                order.model,
                order.version,
                name,
                lambda: self._is_wanted(name, order),
            )
            fence = self._leases.find_fence(self._resource)
            if fence is not None and self._is_wanted(name, order):
                await self._send(name, order, fence)
                return
            _LOGGER.info(
                'order dropped; target=%s model=%s version=%s reason=%s',
                name,
                order.model,
                order.version,
                'lease lost' if fence is None else 'no longer needed',
            )
        finally:
            self._busy.discard(name)

    def _is_wanted(self, name: str, order: _orders_client.Order) -> bool:
        if self._leases.find_fence(self._resource) is None:
            return False
        return self._choose_order(name) == order

    async def _send(
        self, name: str, order: _orders_client.Order, fence: int
    ) -> None:
        now = self._clock.now()
        self._given[name, order.model] = _Given(order, now + SETTLE_SECONDS)
        answer = await self._clients[name].send(
            order, fence, now + _ORDER_SECONDS
        )
        self._metrics.count(f'orders.{type(answer).__name__.lower()}')
        _LOGGER.info(
            'order; target=%s model=%s version=%s fence=%d answer=%s',
            name,
            order.model,
            order.version,
            fence,
            type(answer).__name__,
        )
        match answer:
            case _orders_client.Accepted():
                pass
            case _orders_client.StaleFence() | _orders_client.OrderFailed():
                again_at = self._clock.now() + RETRY_SECONDS
                self._given[name, order.model] = _Given(order, again_at)
            case _:
                typing.assert_never(answer)
