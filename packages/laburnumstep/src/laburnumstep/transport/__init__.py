"""HTTP plumbing that the peer packages share."""

from laburnumstep.transport._bodies import MAX_BODY_BYTES
from laburnumstep.transport._bodies import read_body
from laburnumstep.transport._client import ConnectFailed
from laburnumstep.transport._client import EXCHANGE_ERRORS
from laburnumstep.transport._client import ExchangeFailed
from laburnumstep.transport._client import JsonClient
from laburnumstep.transport._client import JsonResponse
from laburnumstep.transport._client import timeouts_until
from laburnumstep.transport._errors import encode_error
from laburnumstep.transport._server import HttpServer
from laburnumstep.transport._server import serve_app

__all__ = [
    'ConnectFailed',
    'EXCHANGE_ERRORS',
    'ExchangeFailed',
    'HttpServer',
    'JsonClient',
    'JsonResponse',
    'MAX_BODY_BYTES',
    'encode_error',
    'read_body',
    'serve_app',
    'timeouts_until',
]
