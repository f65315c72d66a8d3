"""Route table in force on a VM."""

from __future__ import annotations

from laburnumstep import core

_LOGGER = core.get_logger('callers')


class RouteBook:
    """Route table with the highest version that the VM has received."""

    def __init__(self) -> None:
        self._table: core.RouteTable | None = None

    @property
    def table(self) -> core.RouteTable | None:
        """The route table in force; None before the first one."""
        return self._table

    def apply(self, table: core.RouteTable) -> bool:
        """Replace the table if the new version is higher.

        Args:
            table: The new table.

        Returns:
            Whether the table was replaced.
        """
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        _LOGGER.info(
            'routes in force; version=%d routes=%d',
            table.version,
            len(table.routes),
        )
        return True

    def match(
        self, host: str, path: str, key: str | None
    ) -> tuple[core.Route, core.KeyHolder | None]:
        """Return the route of a request and the holder of its key.

        Args:
            host: Host of the request.
            path: Path of the request.
            key: Key that the caller sent, if any.

        Raises:
            CodedError: `no_configuration` before the first table,
                `unknown_route` if no route matches, or `unauthorized`.
        """
        table = self._table
        if table is None:
            raise core.CodedError(
                core.ErrorCode.NO_CONFIGURATION,
                'the VM has not received the routes yet',
                resend=True,
            )
        route = table.find_route(host, path)
        if route is None:
            raise core.CodedError(
                core.ErrorCode.UNKNOWN_ROUTE, 'no route matches'
            )
        if table.keys is None or route.public:
            return route, table.find_holder(key)
        holder = table.find_holder(key)
        if holder is None:
            raise core.CodedError(
                core.ErrorCode.UNAUTHORIZED, 'the key is not valid'
            )
        return route, holder
