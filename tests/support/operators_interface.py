"""Fake server of a VM's operators' interface."""

from __future__ import annotations

import json
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

KEY = 'operators-test-key'


class FakeVM:
    """Answers requests of operators as a VM does, or with a fault.

    Args:
        version: Version that the VM reports as in force.
        fault: `refuses` for responses with status 401, `crashes` for status
            500, `garbles` for a body that is not JSON; empty for none.
    """

    def __init__(self, version: int, fault: str = '') -> None:
        self._version = version
        self._fault = fault
        self.drained: list[typing.Any] = []
        """Bodies of the accepted drain orders."""
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/status', self._status),
                routing.Route('/v1/decisions/{request}', self._decision),
                routing.Route('/v1/drain', self._drain, methods=['POST']),
                routing.Route(
                    '/v1/culprits', self._culprits, methods=['GET', 'POST']
                ),
            ]
        )

    async def _status(self, request: requests.Request) -> responses.Response:
        body = {
            'version': self._version,
            'digest': f'd{self._version}',
            'members': [{'name': 'vm-1'}, {'name': 'vm-2'}],
        }
        return self._answer(request, body)

    async def _decision(self, request: requests.Request) -> responses.Response:
        if request.path_params['request'] != '1764800000000-5f2c9a01':
            error = {'code': 'not_found', 'message': 'no such request'}
            return responses.JSONResponse({'error': error}, 404)
        decision = {'target': 'gang-1', 'reason': 'least memory in use'}
        return self._answer(request, {'decisions': [decision]})

    async def _drain(self, request: requests.Request) -> responses.Response:
        order = json.loads(await request.body())
        answer = self._answer(request, order)
        if answer.status_code == 200:
            answer.status_code = 202
            self.drained.append(order)
        return answer

    async def _culprits(self, request: requests.Request) -> responses.Response:
        culprit = {
            'traits': ['part:m:dead', 'part:m:f'],
            'crashes': 2,
            'last_crash_at': 0.0,
            'refused_until': 0.0,
        }
        if request.method == 'POST':
            order = json.loads(await request.body())
            culprit['traits'] = order.get('refuse', ['none'])
        return self._answer(request, {'culprits': [culprit]})

    def _answer(
        self, request: requests.Request, body: dict[str, typing.Any]
    ) -> responses.Response:
        if self._fault == 'garbles':
            return responses.PlainTextResponse('<html>')
        if self._fault == 'crashes':
            return responses.PlainTextResponse('', 500)
        wrong_key = request.headers['authorization'] != f'Bearer {KEY}'
        if self._fault == 'refuses' or wrong_key:
            error = {'code': 'unauthorized', 'message': 'wrong key'}
            return responses.JSONResponse({'error': error}, 401)
        return responses.JSONResponse(body)
