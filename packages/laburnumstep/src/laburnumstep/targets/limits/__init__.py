"""Request limits that targets name, kept by all VMs together.

One VM, the owner of a target, issues permits at the rate that the target has
named; each request to the target uses one. A VM that cannot reach the owner
sends at a part of an equal share.
"""

from laburnumstep.targets.limits._bucket import PermitBucket
from laburnumstep.targets.limits._cold import COLD_FRACTION
from laburnumstep.targets.limits._cold import ColdEntry
from laburnumstep.targets.limits._cold import ColdStart
from laburnumstep.targets.limits._cold import ColdTargets
from laburnumstep.targets.limits._cold import MAX_COLD_SECONDS
from laburnumstep.targets.limits._cold import MAX_RAMP_SECONDS
from laburnumstep.targets.limits._gate import PermitGate
from laburnumstep.targets.limits._issuer import PermitIssuer
from laburnumstep.targets.limits._knowledge import KnownLimit
from laburnumstep.targets.limits._knowledge import LIMIT_SECONDS
from laburnumstep.targets.limits._knowledge import TargetLimits
from laburnumstep.targets.limits._permits import Granted
from laburnumstep.targets.limits._permits import PermitAnswer
from laburnumstep.targets.limits._permits import PermitRequest
from laburnumstep.targets.limits._permits import PermitResult
from laburnumstep.targets.limits._permits import PermitSource
from laburnumstep.targets.limits._permits import Unanswered
from laburnumstep.targets.limits._permits import Withheld
from laburnumstep.targets.limits._words import LIMIT_HEADER
from laburnumstep.targets.limits._words import LimitWord
from laburnumstep.targets.limits._words import MAX_RATE
from laburnumstep.targets.limits._words import MIN_RATE
from laburnumstep.targets.limits._words import NoLimit
from laburnumstep.targets.limits._words import parse_limit
from laburnumstep.targets.limits._words import RateLimit
from laburnumstep.targets.limits._words import UnreadableLimit

__all__ = [
    'COLD_FRACTION',
    'LIMIT_HEADER',
    'LIMIT_SECONDS',
    'MAX_COLD_SECONDS',
    'MAX_RAMP_SECONDS',
    'MAX_RATE',
    'MIN_RATE',
    'ColdEntry',
    'ColdStart',
    'ColdTargets',
    'Granted',
    'KnownLimit',
    'LimitWord',
    'NoLimit',
    'PermitAnswer',
    'PermitBucket',
    'PermitGate',
    'PermitIssuer',
    'PermitRequest',
    'PermitResult',
    'PermitSource',
    'RateLimit',
    'TargetLimits',
    'Unanswered',
    'UnreadableLimit',
    'Withheld',
    'parse_limit',
]
