"""HTTP front end for operators."""

from __future__ import annotations

import hmac
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumstep import core
from laburnumstep.operators import _codec
from laburnumstep.operators import _decisions
from laburnumstep.operators import _records
from laburnumstep import targets
from laburnumstep import transport

_LOG = core.get_logger('operators')
_STATUS_CODES = {
    core.ErrorCode.BAD_REQUEST: 400,
    core.ErrorCode.UNAUTHORIZED: 401,
    core.ErrorCode.NO_TARGET: 404,
}


class OperatorsApp:
    """Serves status and routing decisions and accepts drain orders.

    Args:
        key: Key that operators send with each request.
        status: Source of the status of this VM.
        decisions: Log of recent routing decisions.
        drains: Executes drain orders.
        culprits: What is refused because it crashes targets.
    """

    def __init__(
        self,
        key: str,
        status: _records.StatusSource,
        decisions: _decisions.DecisionLog,
        drains: _records.DrainHandler,
        culprits: _records.CulpritSource,
    ) -> None:
        self._key = key
        self._status = status
        self._decisions = decisions
        self._drains = drains
        self._culprits = culprits
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/status', self._read_status, methods=['GET']
                ),
                routing.Route(
                    '/v1/decisions/{request}',
                    self._read_decisions,
                    methods=['GET'],
                ),
                routing.Route('/v1/drain', self._drain, methods=['POST']),
                routing.Route(
                    '/v1/culprits', self._read_culprits, methods=['GET']
                ),
                routing.Route(
                    '/v1/culprits', self._order_culprits, methods=['POST']
                ),
            ],
            exception_handlers={core.CodedError: _encode_error},
        )
        """The ASGI application."""

    async def _read_status(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_key(request)
        status = self._status.read_status()
        return responses.JSONResponse(_codec.encode_status(status))

    async def _read_decisions(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_key(request)
        name = request.path_params['request']
        found = self._decisions.find(name)
        encoded = [_codec.encode_decision(decision) for decision in found]
        body = {'request': name, 'decisions': encoded}
        return responses.JSONResponse(body, 200 if found else 404)

    async def _drain(self, request: requests.Request) -> responses.Response:
        self._check_key(request)
        order = _codec.decode_order(await transport.read_body(request))
        await self._drains.drain(order)
        match order:
            case _records.DrainTarget(target):
                _LOG.info('drain ordered for target=%s', target)
            case _records.DrainVM(vm):
                _LOG.info('drain ordered for vm=%s', vm)
            case _:
                typing.assert_never(order)
        return responses.JSONResponse(_codec.encode_order(order), 202)

    async def _read_culprits(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_key(request)
        encoded = [_codec.encode_culprit(i) for i in self._culprits.culprits]
        return responses.JSONResponse({'culprits': encoded})

    async def _order_culprits(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_key(request)
        body = await transport.read_body(request)
        order = _codec.decode_culprit_order(body)
        described = targets.describe_traits(order.traits)
        match order:
            case _records.RefuseTraits(traits, until):
                self._culprits.refuse(traits, until)
                _LOG.info('refusal ordered; traits=%s', described)
            case _records.ClearTraits(traits):
                self._culprits.clear(traits)
                _LOG.info('clearance ordered; traits=%s', described)
            case _:
                typing.assert_never(order)
        encoded = [_codec.encode_culprit(i) for i in self._culprits.culprits]
        return responses.JSONResponse({'culprits': encoded}, 202)

    def _check_key(self, request: requests.Request) -> None:
        headers = request.headers.getlist('authorization')
        expected = f'Bearer {self._key}'.encode()
        if len(headers) == 1 and hmac.compare_digest(
            headers[0].encode(), expected
        ):
            return
        _LOG.warning('request refused: the credentials are wrong or missing')
        raise core.CodedError(
            core.ErrorCode.UNAUTHORIZED,
            'the credentials are wrong or missing',
        )


async def _encode_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    if not isinstance(error, core.CodedError):
        raise error
    status = _STATUS_CODES.get(error.code, 503)
    return responses.JSONResponse(transport.encode_error(error), status)
