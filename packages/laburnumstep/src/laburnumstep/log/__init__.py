"""The platform's append-only log."""

from laburnumstep.log._client import AppendedAt
from laburnumstep.log._client import AppendRateExceeded
from laburnumstep.log._client import LogClient
from laburnumstep.log._client import LogUnavailable
from laburnumstep.log._records import LogPage
from laburnumstep.log._records import LogRecord

__all__ = [
    'AppendRateExceeded',
    'AppendedAt',
    'LogClient',
    'LogPage',
    'LogRecord',
    'LogUnavailable',
]
