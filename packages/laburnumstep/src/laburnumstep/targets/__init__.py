"""Placement, dispatch and observation of engines and plain services."""

from laburnumstep.targets._abandoned import AbandonedGenerations
from laburnumstep.targets._backups import BackUp
from laburnumstep.targets._backups import BackupDecision
from laburnumstep.targets._backups import BackupRoom
from laburnumstep.targets._backups import decide as decide_backup
from laburnumstep.targets._backups import DEFAULT_TOKEN_SECONDS
from laburnumstep.targets._backups import NoBackup
from laburnumstep.targets._backups import RunAtRisk
from laburnumstep.targets._coalescing import ReadPacer
from laburnumstep.targets._codec import decode as decode_lengths
from laburnumstep.targets._codec import encode as encode_lengths
from laburnumstep.targets._cost import Objectives
from laburnumstep.targets._crash_codec import decode_evidence
from laburnumstep.targets._crash_codec import encode_evidence
from laburnumstep.targets._crash_ledger import CrashLedger
from laburnumstep.targets._crash_ledger import Culprit
from laburnumstep.targets._crash_ledger import EVIDENCE_SECONDS
from laburnumstep.targets._crash_monitor import CrashMonitor
from laburnumstep.targets._crash_monitor import make_refusal_check
from laburnumstep.targets._crashes import Clearance
from laburnumstep.targets._crashes import CrashEvidence
from laburnumstep.targets._crashes import CrashReport
from laburnumstep.targets._crashes import OperatorRefusal
from laburnumstep.targets._destinations import CopiedRun
from laburnumstep.targets._destinations import CopyRoom
from laburnumstep.targets._destinations import draw_destination
from laburnumstep.targets._destinations import estimate_remaining
from laburnumstep.targets._destinations import measure_room
from laburnumstep.targets._engine_client import EngineClient
from laburnumstep.targets._engine_client import new_generation_id
from laburnumstep.targets._engine_client import StreamBroken
from laburnumstep.targets._engine_clients import EngineClients
from laburnumstep.targets._engine_codec import EventDecoder
from laburnumstep.targets._engine_events import Failed
from laburnumstep.targets._engine_events import Finished
from laburnumstep.targets._engine_events import MalformedStream
from laburnumstep.targets._engine_events import Preempted
from laburnumstep.targets._engine_events import StreamGap
from laburnumstep.targets._engine_events import StreamPosition
from laburnumstep.targets._engine_events import TokenBatch
from laburnumstep.targets._engine_events import WrongGeneration
from laburnumstep.targets._event_rate import EventRate
from laburnumstep.targets._generation_ports import FailedRun
from laburnumstep.targets._generation_ports import GenerationPlacement
from laburnumstep.targets._generation_ports import GenerationSink
from laburnumstep.targets._generation_ports import PlacedGeneration
from laburnumstep.targets._generation_runner import GenerationRunner
from laburnumstep.targets._hazards import EngineHazards
from laburnumstep.targets._hints import CacheEvent
from laburnumstep.targets._hints import CacheEventKind
from laburnumstep.targets._hints import PrefixHints
from laburnumstep.targets._leaving import LeavingTargets
from laburnumstep.targets._lengths import LengthEstimator
from laburnumstep.targets._lengths import LengthSketch
from laburnumstep.targets._links import LinkMeter
from laburnumstep.targets._load_follower import LoadClient
from laburnumstep.targets._load_follower import LoadClients
from laburnumstep.targets._load_follower import LoadFollower
from laburnumstep.targets._load_follower import SharedReports
from laburnumstep.targets._orders import compare_models
from laburnumstep.targets._orders import LeaseView
from laburnumstep.targets._orders import OrderReconciler
from laburnumstep.targets._orders import WeightSource
from laburnumstep.targets._orders_client import Accepted
from laburnumstep.targets._orders_client import Order
from laburnumstep.targets._orders_client import OrderAnswer
from laburnumstep.targets._orders_client import OrderClient
from laburnumstep.targets._orders_client import OrderFailed
from laburnumstep.targets._orders_client import StaleFence
from laburnumstep.targets._pace import decode_sample as decode_pace
from laburnumstep.targets._pace import EARLY_GAPS
from laburnumstep.targets._pace import encode_sample as encode_pace
from laburnumstep.targets._pace import EnginePaces
from laburnumstep.targets._pace import EXPIRY_SECONDS as PACE_EXPIRY_SECONDS
from laburnumstep.targets._pace import GapRecorder
from laburnumstep.targets._pace import Pace
from laburnumstep.targets._pace import PaceSample
from laburnumstep.targets._placement import choose_engine
from laburnumstep.targets._placement import choose_service
from laburnumstep.targets._placement import sample_engines
from laburnumstep.targets._policy import MemoryPolicy
from laburnumstep.targets._preferences import choose_cache_holder
from laburnumstep.targets._preferences import find_preference
from laburnumstep.targets._preferences import keeps_gap
from laburnumstep.targets._preferences import Preference
from laburnumstep.targets._prefixes import digest_prefixes
from laburnumstep.targets._reclaims import list_unfinished
from laburnumstep.targets._registry import Registration
from laburnumstep.targets._registry import TargetRegistry
from laburnumstep.targets._reports import LoadReport
from laburnumstep.targets._residency import CacheResidency
from laburnumstep.targets._residency import digest_parts
from laburnumstep.targets._residency import PromptPart
from laburnumstep.targets._results import NoRoom
from laburnumstep.targets._results import NoTarget
from laburnumstep.targets._results import Placed
from laburnumstep.targets._results import PlacementRequest
from laburnumstep.targets._results import PlacementResult
from laburnumstep.targets._retries import RetryBudget
from laburnumstep.targets._retry_decisions import decide_retry
from laburnumstep.targets._retry_decisions import FailedAttempt
from laburnumstep.targets._retry_decisions import GiveUp
from laburnumstep.targets._retry_decisions import Retry
from laburnumstep.targets._retry_decisions import RetryDecision
from laburnumstep.targets._self_reports import MAX_BACK_OFF_SECONDS
from laburnumstep.targets._self_reports import SelfReport
from laburnumstep.targets._sends import Send
from laburnumstep.targets._sends import SiblingSend
from laburnumstep.targets._service_calls import CallRunner
from laburnumstep.targets._service_calls import ClaimStore
from laburnumstep.targets._service_client import Answered
from laburnumstep.targets._service_client import NotReached
from laburnumstep.targets._service_client import NotStarted
from laburnumstep.targets._service_client import ReplyLost
from laburnumstep.targets._service_client import ServiceAnswer
from laburnumstep.targets._service_client import ServiceClient
from laburnumstep.targets._service_client import ServiceClients
from laburnumstep.targets._states import TargetState
from laburnumstep.targets._subset import limit_engines
from laburnumstep.targets._target_notices import TargetNotices
from laburnumstep.targets._traits import describe_traits
from laburnumstep.targets._traits import digest_fields
from laburnumstep.targets._traits import digest_traits
from laburnumstep.targets._traits import fingerprint_call
from laburnumstep.targets._traits import fingerprint_generation
from laburnumstep.targets._traits import list_generation_traits
from laburnumstep.targets._traits import list_part_traits
from laburnumstep.targets._traits import parse_trait
from laburnumstep.targets._traits import Trait
from laburnumstep.targets._traits import Traits
from laburnumstep.targets._traits import WholeRequest
from laburnumstep.targets._view import FleetView
from laburnumstep.targets._view import get_service_pool_key

__all__ = [
    'AbandonedGenerations',
    'Accepted',
    'Answered',
    'BackUp',
    'BackupDecision',
    'BackupRoom',
    'CacheEvent',
    'CacheEventKind',
    'CacheResidency',
    'CallRunner',
    'ClaimStore',
    'Clearance',
    'CopiedRun',
    'CopyRoom',
    'CrashEvidence',
    'CrashLedger',
    'CrashMonitor',
    'CrashReport',
    'Culprit',
    'DEFAULT_TOKEN_SECONDS',
    'EARLY_GAPS',
    'EVIDENCE_SECONDS',
    'EngineClient',
    'EngineClients',
    'EngineHazards',
    'EnginePaces',
    'EventDecoder',
    'EventRate',
    'Failed',
    'FailedAttempt',
    'FailedRun',
    'Finished',
    'FleetView',
    'GapRecorder',
    'GenerationPlacement',
    'GenerationRunner',
    'GenerationSink',
    'GiveUp',
    'LeaseView',
    'LeavingTargets',
    'LengthEstimator',
    'LengthSketch',
    'LinkMeter',
    'LoadClient',
    'LoadClients',
    'LoadFollower',
    'LoadReport',
    'MAX_BACK_OFF_SECONDS',
    'MalformedStream',
    'MemoryPolicy',
    'NoBackup',
    'NoRoom',
    'NoTarget',
    'NotReached',
    'NotStarted',
    'Objectives',
    'OperatorRefusal',
    'Order',
    'OrderAnswer',
    'OrderClient',
    'OrderFailed',
    'OrderReconciler',
    'PACE_EXPIRY_SECONDS',
    'Pace',
    'PaceSample',
    'Placed',
    'PlacedGeneration',
    'PlacementRequest',
    'PlacementResult',
    'Preempted',
    'Preference',
    'PrefixHints',
    'PromptPart',
    'ReadPacer',
    'Registration',
    'ReplyLost',
    'Retry',
    'RetryBudget',
    'RetryDecision',
    'RunAtRisk',
    'SelfReport',
    'Send',
    'ServiceAnswer',
    'ServiceClient',
    'ServiceClients',
    'SharedReports',
    'SiblingSend',
    'StaleFence',
    'StreamBroken',
    'StreamGap',
    'StreamPosition',
    'TargetNotices',
    'TargetRegistry',
    'TargetState',
    'TokenBatch',
    'Trait',
    'Traits',
    'WeightSource',
    'WholeRequest',
    'WrongGeneration',
    'choose_cache_holder',
    'choose_engine',
    'choose_service',
    'compare_models',
    'decide_backup',
    'decide_retry',
    'decode_evidence',
    'decode_lengths',
    'decode_pace',
    'describe_traits',
    'digest_fields',
    'digest_parts',
    'digest_prefixes',
    'digest_traits',
    'draw_destination',
    'encode_evidence',
    'encode_lengths',
    'encode_pace',
    'estimate_remaining',
    'find_preference',
    'fingerprint_call',
    'fingerprint_generation',
    'get_service_pool_key',
    'keeps_gap',
    'limit_engines',
    'list_generation_traits',
    'list_part_traits',
    'list_unfinished',
    'make_refusal_check',
    'measure_room',
    'new_generation_id',
    'parse_trait',
    'sample_engines',
]
