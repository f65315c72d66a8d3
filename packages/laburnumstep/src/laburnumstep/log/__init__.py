"""The platform's append-only log."""

from laburnumstep.log._claim_answers import ClaimAnswer
from laburnumstep.log._claim_answers import Expired
from laburnumstep.log._claim_answers import Granted
from laburnumstep.log._claim_answers import Held
from laburnumstep.log._claim_answers import NotValidYet
from laburnumstep.log._claim_answers import Settled
from laburnumstep.log._claim_answers import Taken
from laburnumstep.log._client import AppendedAt
from laburnumstep.log._client import AppendRateExceeded
from laburnumstep.log._client import LogClient
from laburnumstep.log._client import LogUnavailable
from laburnumstep.log._records import LogPage
from laburnumstep.log._records import LogRecord

__all__ = [
    'AppendRateExceeded',
    'AppendedAt',
    'ClaimAnswer',
    'Expired',
    'Granted',
    'Held',
    'LogClient',
    'LogPage',
    'LogRecord',
    'LogUnavailable',
    'NotValidYet',
    'Settled',
    'Taken',
]
