"""The routes in force on one VM."""

from __future__ import annotations

from laburnumstep import core

_LOGGER = core.get_logger('callers')


class RouteBook:
    """Holds the newest route table; versions never go back."""

    def __init__(self) -> None:
        self._table: core.RouteTable | None = None

    @property
    def table(self) -> core.RouteTable | None:
        """The routes in force, or None where none are known yet."""
        return self._table

    def apply(self, table: core.RouteTable) -> bool:
        """Use a table if it is newer; return whether it is."""
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

        Raises:
            CodedError: No table is known, no route matches or the key is
                not valid.
        """
        table = self._table
        if table is None:
            raise core.CodedError(
                core.ErrorCode.NO_CONFIGURATION,
                'the VM does not know the routes yet',
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
