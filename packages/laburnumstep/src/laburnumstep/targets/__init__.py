"""Model engines and plain services."""

from laburnumstep.targets._codec import decode as decode_lengths
from laburnumstep.targets._codec import encode as encode_lengths
from laburnumstep.targets._hints import CacheEvent
from laburnumstep.targets._hints import CacheEventKind
from laburnumstep.targets._hints import PrefixHints
from laburnumstep.targets._lengths import LengthEstimator
from laburnumstep.targets._lengths import LengthSketch
from laburnumstep.targets._links import LinkMeter
from laburnumstep.targets._placement import choose_engine
from laburnumstep.targets._placement import choose_service
from laburnumstep.targets._placement import MemoryPolicy
from laburnumstep.targets._placement import NoRoom
from laburnumstep.targets._placement import NoTarget
from laburnumstep.targets._placement import Placed
from laburnumstep.targets._placement import Placement
from laburnumstep.targets._placement import PlacementRequest
from laburnumstep.targets._reports import LoadReport
from laburnumstep.targets._retries import RetryBudget
from laburnumstep.targets._sends import Send
from laburnumstep.targets._states import TargetState
from laburnumstep.targets._suspects import Crash
from laburnumstep.targets._suspects import CrashSuspects
from laburnumstep.targets._suspects import fingerprint_call
from laburnumstep.targets._suspects import fingerprint_generation
from laburnumstep.targets._view import FleetView

__all__ = [
    'CacheEvent',
    'CacheEventKind',
    'Crash',
    'CrashSuspects',
    'FleetView',
    'LengthEstimator',
    'LengthSketch',
    'LinkMeter',
    'LoadReport',
    'MemoryPolicy',
    'NoRoom',
    'NoTarget',
    'Placed',
    'Placement',
    'PlacementRequest',
    'PrefixHints',
    'RetryBudget',
    'Send',
    'TargetState',
    'choose_engine',
    'choose_service',
    'decode_lengths',
    'encode_lengths',
    'fingerprint_call',
    'fingerprint_generation',
]
