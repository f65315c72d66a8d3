"""Model engines and plain services."""

from laburnumstep.targets._codec import decode as decode_lengths
from laburnumstep.targets._codec import encode as encode_lengths
from laburnumstep.targets._hints import CacheEvent
from laburnumstep.targets._hints import CacheEventKind
from laburnumstep.targets._hints import PrefixHints
from laburnumstep.targets._lengths import LengthEstimator
from laburnumstep.targets._lengths import LengthSketch
from laburnumstep.targets._links import LinkMeter
from laburnumstep.targets._pace import EventRate
from laburnumstep.targets._placement import choose_engine
from laburnumstep.targets._placement import choose_service
from laburnumstep.targets._policy import MemoryPolicy
from laburnumstep.targets._reclaims import list_unfinished
from laburnumstep.targets._reports import LoadReport
from laburnumstep.targets._results import NoRoom
from laburnumstep.targets._results import NoTarget
from laburnumstep.targets._results import Placed
from laburnumstep.targets._results import Placement
from laburnumstep.targets._results import PlacementRequest
from laburnumstep.targets._retries import RetryBudget
from laburnumstep.targets._retry_decisions import decide_retry
from laburnumstep.targets._retry_decisions import FailedAttempt
from laburnumstep.targets._retry_decisions import GiveUp
from laburnumstep.targets._retry_decisions import Retry
from laburnumstep.targets._retry_decisions import RetryDecision
from laburnumstep.targets._sends import Send
from laburnumstep.targets._service_calls import CallRunner
from laburnumstep.targets._service_calls import ClaimKeeper
from laburnumstep.targets._service_client import Answered
from laburnumstep.targets._service_client import NotReached
from laburnumstep.targets._service_client import NotStarted
from laburnumstep.targets._service_client import ReplyLost
from laburnumstep.targets._service_client import ServiceAnswer
from laburnumstep.targets._service_client import ServiceClient
from laburnumstep.targets._service_client import ServiceClients
from laburnumstep.targets._states import TargetState
from laburnumstep.targets._suspects import Crash
from laburnumstep.targets._suspects import CrashSuspects
from laburnumstep.targets._suspects import fingerprint_call
from laburnumstep.targets._suspects import fingerprint_generation
from laburnumstep.targets._view import FleetView

__all__ = [
    'Answered',
    'CacheEvent',
    'CacheEventKind',
    'CallRunner',
    'ClaimKeeper',
    'Crash',
    'CrashSuspects',
    'EventRate',
    'FailedAttempt',
    'FleetView',
    'GiveUp',
    'LengthEstimator',
    'LengthSketch',
    'LinkMeter',
    'LoadReport',
    'MemoryPolicy',
    'NoRoom',
    'NoTarget',
    'NotReached',
    'NotStarted',
    'Placed',
    'Placement',
    'PlacementRequest',
    'PrefixHints',
    'ReplyLost',
    'Retry',
    'RetryBudget',
    'RetryDecision',
    'Send',
    'ServiceAnswer',
    'ServiceClient',
    'ServiceClients',
    'TargetState',
    'choose_engine',
    'choose_service',
    'decide_retry',
    'decode_lengths',
    'encode_lengths',
    'fingerprint_call',
    'fingerprint_generation',
    'list_unfinished',
]
