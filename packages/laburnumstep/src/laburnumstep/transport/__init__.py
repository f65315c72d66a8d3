"""HTTP clients and servers that the peer packages share."""

from laburnumstep.transport._bodies import MAX_BODY_BYTES
from laburnumstep.transport._bodies import read_body
from laburnumstep.transport._bodies import wait_for_disconnect
from laburnumstep.transport._body_budget import BodyBudget
from laburnumstep.transport._caller_budget import CallerBudget
from laburnumstep.transport._caller_budget import CallerLimits
from laburnumstep.transport._caller_budget import CallerTimeouts
from laburnumstep.transport._caller_budget import make_limits
from laburnumstep.transport._caller_connections import CallerGuard
from laburnumstep.transport._client import ConnectFailed
from laburnumstep.transport._client import ConnectRefused
from laburnumstep.transport._client import EXCHANGE_ERRORS
from laburnumstep.transport._client import ExchangeFailed
from laburnumstep.transport._client import ExchangeTimedOut
from laburnumstep.transport._client import join_headers
from laburnumstep.transport._client import JsonClient
from laburnumstep.transport._client import JsonResponse
from laburnumstep.transport._client import SendObserver
from laburnumstep.transport._client import timeouts_until
from laburnumstep.transport._errors import encode_error
from laburnumstep.transport._exchange import Headers
from laburnumstep.transport._exchange import HttpConnection
from laburnumstep.transport._exchange import is_refusing
from laburnumstep.transport._exchange import RequestHead
from laburnumstep.transport._exchange import ResponseHead
from laburnumstep.transport._pool import ConnectionPool
from laburnumstep.transport._server import HttpServer
from laburnumstep.transport._server import serve_app
from laburnumstep.transport._turns import CHUNK_OVERHEAD_BYTES
from laburnumstep.transport._turns import Turn

__all__ = [
    'BodyBudget',
    'CHUNK_OVERHEAD_BYTES',
    'CallerBudget',
    'CallerGuard',
    'CallerLimits',
    'CallerTimeouts',
    'ConnectFailed',
    'ConnectRefused',
    'ConnectionPool',
    'EXCHANGE_ERRORS',
    'ExchangeFailed',
    'ExchangeTimedOut',
    'Headers',
    'HttpConnection',
    'HttpServer',
    'JsonClient',
    'JsonResponse',
    'MAX_BODY_BYTES',
    'RequestHead',
    'ResponseHead',
    'SendObserver',
    'Turn',
    'encode_error',
    'is_refusing',
    'join_headers',
    'make_limits',
    'read_body',
    'serve_app',
    'timeouts_until',
    'wait_for_disconnect',
]
