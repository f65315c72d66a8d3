"""Request limits that targets name, kept by all VMs together."""

from laburnumstep.targets.limits._knowledge import KnownLimit
from laburnumstep.targets.limits._knowledge import LIMIT_SECONDS
from laburnumstep.targets.limits._knowledge import TargetLimits
from laburnumstep.targets.limits._words import LimitWord
from laburnumstep.targets.limits._words import MAX_RATE
from laburnumstep.targets.limits._words import MIN_RATE
from laburnumstep.targets.limits._words import NoLimit
from laburnumstep.targets.limits._words import parse_limit
from laburnumstep.targets.limits._words import RateLimit
from laburnumstep.targets.limits._words import UnreadableLimit

__all__ = [
    'LIMIT_SECONDS',
    'MAX_RATE',
    'MIN_RATE',
    'KnownLimit',
    'LimitWord',
    'NoLimit',
    'RateLimit',
    'TargetLimits',
    'UnreadableLimit',
    'parse_limit',
]
