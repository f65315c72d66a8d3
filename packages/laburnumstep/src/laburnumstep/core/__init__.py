"""Types and helpers that all packages share.

This package imports no other package of laburnumstep and opens no
connection to a peer.
"""

from laburnumstep.core._bounded import put_bounded
from laburnumstep.core._clock import cancel_at
from laburnumstep.core._clock import Clock
from laburnumstep.core._clock import ManualClock
from laburnumstep.core._clock import SteadyClock
from laburnumstep.core._clock import SystemClock
from laburnumstep.core._clock import wait_until
from laburnumstep.core._deployment import Deployment
from laburnumstep.core._deployment import digest_secret
from laburnumstep.core._deployment import DocumentObject
from laburnumstep.core._deployment import EngineTarget
from laburnumstep.core._deployment import LinkBudget
from laburnumstep.core._deployment import Operation
from laburnumstep.core._deployment import Place
from laburnumstep.core._deployment import PolicyWeights
from laburnumstep.core._deployment import Service
from laburnumstep.core._deployment import ServiceTarget
from laburnumstep.core._deployment import Target
from laburnumstep.core._deployment import VersionedDeployment
from laburnumstep.core._deployment import Workspace
from laburnumstep.core._digests import digest_deployment
from laburnumstep.core._digests import ItemName
from laburnumstep.core._digests import update_digest
from laburnumstep.core._documents import decode_document
from laburnumstep.core._documents import encode_document
from laburnumstep.core._documents import load_json
from laburnumstep.core._errors import CodedError
from laburnumstep.core._errors import ErrorCode
from laburnumstep.core._errors import Outcome
from laburnumstep.core._findings import Finding
from laburnumstep.core._findings import FindingsError
from laburnumstep.core._findings import SourcePosition
from laburnumstep.core._json import decode_count
from laburnumstep.core._json import MALFORMED_ERRORS
from laburnumstep.core._json import parse_json
from laburnumstep.core._keys import choose_by_rendezvous
from laburnumstep.core._keys import KEY_SKEW_SECONDS
from laburnumstep.core._keys import KEY_VALID_SECONDS
from laburnumstep.core._keys import rank_by_rendezvous
from laburnumstep.core._keys import RequestKey
from laburnumstep.core._keys import stable_hash
from laburnumstep.core._log_stream import DroppingStream
from laburnumstep.core._logs import configure_logging
from laburnumstep.core._logs import get_logger
from laburnumstep.core._logs import PrefixAdapter
from laburnumstep.core._metrics import Metrics
from laburnumstep.core._metrics_page import METRICS_CONTENT_TYPE
from laburnumstep.core._metrics_page import MetricsPage
from laburnumstep.core._regions import AnyRegion
from laburnumstep.core._regions import OnlyRegions
from laburnumstep.core._regions import Regions
from laburnumstep.core._requests import CallResult
from laburnumstep.core._requests import Delivery
from laburnumstep.core._requests import Generation
from laburnumstep.core._requests import ServiceCall
from laburnumstep.core._routes import CallKind
from laburnumstep.core._routes import KeyHolder
from laburnumstep.core._routes import Route
from laburnumstep.core._routes import RouteKind
from laburnumstep.core._routes import RouteTable
from laburnumstep.core._routes import StreamKind
from laburnumstep.core._routes import WeightedService
from laburnumstep.core._settings import describe_settings
from laburnumstep.core._settings import load_settings
from laburnumstep.core._settings import parse_settings
from laburnumstep.core._settings import Settings
from laburnumstep.core._settings import VMSettings

__all__ = [
    'AnyRegion',
    'CallKind',
    'CallResult',
    'Clock',
    'CodedError',
    'Delivery',
    'Deployment',
    'DocumentObject',
    'DroppingStream',
    'EngineTarget',
    'ErrorCode',
    'Finding',
    'FindingsError',
    'Generation',
    'ItemName',
    'KEY_SKEW_SECONDS',
    'KEY_VALID_SECONDS',
    'KeyHolder',
    'LinkBudget',
    'MALFORMED_ERRORS',
    'METRICS_CONTENT_TYPE',
    'ManualClock',
    'Metrics',
    'MetricsPage',
    'OnlyRegions',
    'Operation',
    'Outcome',
    'Place',
    'PolicyWeights',
    'PrefixAdapter',
    'Regions',
    'RequestKey',
    'Route',
    'RouteKind',
    'RouteTable',
    'Service',
    'ServiceCall',
    'ServiceTarget',
    'Settings',
    'SourcePosition',
    'SteadyClock',
    'StreamKind',
    'SystemClock',
    'Target',
    'VMSettings',
    'VersionedDeployment',
    'WeightedService',
    'Workspace',
    'cancel_at',
    'choose_by_rendezvous',
    'configure_logging',
    'decode_count',
    'decode_document',
    'describe_settings',
    'digest_deployment',
    'digest_secret',
    'encode_document',
    'get_logger',
    'load_json',
    'load_settings',
    'parse_json',
    'parse_settings',
    'put_bounded',
    'rank_by_rendezvous',
    'stable_hash',
    'update_digest',
    'wait_until',
]
