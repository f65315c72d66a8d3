"""Reconciliation of the engines' models with their declared state."""

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
REPEAT_SECONDS = 60.0
"""Time until an accepted order may be repeated, in seconds. Loading a model
takes long and reports lag, so a report can show the state before the order."""
RETRY_SECONDS = 5.0
"""Time until an order that failed may be repeated, in seconds."""
_ORDER_SECONDS = 5.0
"""Longest time for an engine to accept an order, in seconds."""


class LeaseView(typing.Protocol):
    """Leases that this VM holds, such as `log.LeaseKeeper`."""

    def find_fencing_token(self, resource: str) -> int | None:
        """Return the fencing token of a lease, or None if it is not held."""
        ...


class WeightSource(typing.Protocol):
    """Fetches the weights of models, such as `weights.WeightFetcher`."""

    async def fetch(
        self,
        model: str,
        version: str,
        target: str,
        is_wanted: collections.abc.Callable[[], bool],
    ) -> bool:
        """Wait until the store has sent the weights of a model to a target.

        Args:
            model: Name of the model.
            version: Version of the model.
            target: Name of the target.
            is_wanted: Returns whether the weights are still needed.
        """
        ...


@attrs.frozen
class _SentOrder:
    """The last order that was sent for a model of an engine."""

    order: _orders_client.Order
    """The order."""
    repeat_at: float
    """When it may be sent again, in epoch seconds."""


FindReport = typing.Callable[[str], '_reports.LoadReport | None']
"""Returns the newest load report of an engine."""


def compare_models(
    declared: core.EngineTarget, report: _reports.LoadReport
) -> list[_orders_client.Order]:
    """Return the orders that bring an engine to its declared state.

    Args:
        declared: The engine as declared by the configuration in force.
        report: Load report of the engine.
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


class OrderReconciler:
    """Sends orders to the engines of one data centre while holding a lease.

    An order is sent only if the newest report differs from the declared
    state and this VM holds the lease according to its own replay of the
    log. If an engine ignores fencing tokens, two VMs that each believe
    they hold the lease can both send orders. The engine still converges,
    because each order names a declared state and the comparison is
    repeated afterwards.

    Args:
        resource: Name of the lease.
        leases: Leases that this VM holds.
        weights: Fetches the weights before an order is sent.
        find_report: Returns the newest report of an engine.
        clock: Clock for comparisons and repeated orders.
        metrics: Counts the answers to orders.
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
        self._sent_orders: dict[tuple[str, str], _SentOrder] = {}
        self._busy: set[str] = set()

    def apply_engines(
        self, engines: collections.abc.Iterable[core.EngineTarget]
    ) -> None:
        """Replace the declared engines by those of a new configuration."""
        before = self._declared
        self._declared = {engine.name: engine for engine in engines}
        for name, engine in self._declared.items():
            previous = before.get(name)
            if previous is None or previous.address != engine.address:
                self._clients[name] = _orders_client.OrderClient(
                    engine.address
                )
        for name in before.keys() - self._declared.keys():
            del self._clients[name]
        self._sent_orders = {
            key: sent
            for key, sent in self._sent_orders.items()
            if key[0] in self._declared
        }

    async def run(self) -> None:
        """Check the engines periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.check(tasks)
                await self._clock.sleep_until(
                    self._clock.now() + CHECK_SECONDS
                )

    def check(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start a task for each engine that needs an order.

        Args:
            tasks: Group in which the orders are sent.
        """
        if self._leases.find_fencing_token(self._resource) is None:
            return
        for name in self._declared:
            if name in self._busy:
                continue
            order = self._choose_order(name)
            if order is not None:
                self._busy.add(name)
                tasks.start_soon(self._execute, name, order)

    def _choose_order(self, name: str) -> _orders_client.Order | None:
        """Return the next order that is due for an engine, or None."""
        declared = self._declared.get(name)
        report = self._find_report(name)
        # An engine without a report may be down. A leaving engine is
        # not worth fetching weights for.
        if declared is None or report is None or declared.leaving:
            return None
        now = self._clock.now()
        for order in compare_models(declared, report):
            sent = self._sent_orders.get((name, order.model))
            if sent and sent.order == order and now < sent.repeat_at:
                continue
            return order
        return None

    async def _execute(self, name: str, order: _orders_client.Order) -> None:
        """Fetch the weights of an order, then send it if still needed."""
        try:
            await self._weights.fetch(
                order.model,
                order.version,
                name,
                lambda: self._is_wanted(name, order),
            )
            fence = self._leases.find_fencing_token(self._resource)
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
        if self._leases.find_fencing_token(self._resource) is None:
            return False
        return self._choose_order(name) == order

    async def _send(
        self, name: str, order: _orders_client.Order, fence: int
    ) -> None:
        now = self._clock.now()
        self._sent_orders[name, order.model] = _SentOrder(
            order, now + REPEAT_SECONDS
        )
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
                repeat_at = self._clock.now() + RETRY_SECONDS
                self._sent_orders[name, order.model] = _SentOrder(
                    order, repeat_at
                )
            case _:
                typing.assert_never(answer)
