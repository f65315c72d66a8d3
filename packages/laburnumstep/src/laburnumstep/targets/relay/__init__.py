"""Forwards callers' HTTP requests to targets without changing them."""

from laburnumstep.targets.relay._calls import CallRelay
from laburnumstep.targets.relay._calls import is_repeatable
from laburnumstep.targets.relay._checked_port import CheckedPort
from laburnumstep.targets.relay._limited_port import LimitedPort
from laburnumstep.targets.relay._placements import FailedSend
from laburnumstep.targets.relay._placements import RelayPlacement
from laburnumstep.targets.relay._placements import RelayPlacer
from laburnumstep.targets.relay._ports import Answered
from laburnumstep.targets.relay._ports import AnswerSink
from laburnumstep.targets.relay._ports import Attempt
from laburnumstep.targets.relay._ports import Barred
from laburnumstep.targets.relay._ports import ContinuedRun
from laburnumstep.targets.relay._ports import Copied
from laburnumstep.targets.relay._ports import CopyFailed
from laburnumstep.targets.relay._ports import CopyResult
from laburnumstep.targets.relay._ports import EngineRun
from laburnumstep.targets.relay._ports import EventsDelayed
from laburnumstep.targets.relay._ports import EventSource
from laburnumstep.targets.relay._ports import Headers
from laburnumstep.targets.relay._ports import Held
from laburnumstep.targets.relay._ports import Lost
from laburnumstep.targets.relay._ports import Moved
from laburnumstep.targets.relay._ports import MoveResult
from laburnumstep.targets.relay._ports import MoveUnknown
from laburnumstep.targets.relay._ports import NewRun
from laburnumstep.targets.relay._ports import NoRunList
from laburnumstep.targets.relay._ports import NoSuchRun
from laburnumstep.targets.relay._ports import NotMoved
from laburnumstep.targets.relay._ports import NotReached
from laburnumstep.targets.relay._ports import NotRun
from laburnumstep.targets.relay._ports import PromptShape
from laburnumstep.targets.relay._ports import RelayRequest
from laburnumstep.targets.relay._ports import Reply
from laburnumstep.targets.relay._ports import ResumedRun
from laburnumstep.targets.relay._ports import RunList
from laburnumstep.targets.relay._ports import RunListResult
from laburnumstep.targets.relay._ports import Start
from laburnumstep.targets.relay._ports import Stopped
from laburnumstep.targets.relay._ports import StreamBroken
from laburnumstep.targets.relay._ports import StreamEvent
from laburnumstep.targets.relay._ports import Streaming
from laburnumstep.targets.relay._ports import TargetPort
from laburnumstep.targets.relay._running import RunningStreams
from laburnumstep.targets.relay._stream_run import is_short
from laburnumstep.targets.relay._streams import StreamRelay

__all__ = [
    'AnswerSink',
    'Answered',
    'Attempt',
    'Barred',
    'CallRelay',
    'CheckedPort',
    'ContinuedRun',
    'Copied',
    'CopyFailed',
    'CopyResult',
    'EngineRun',
    'EventSource',
    'EventsDelayed',
    'FailedSend',
    'Headers',
    'Held',
    'LimitedPort',
    'Lost',
    'MoveResult',
    'MoveUnknown',
    'Moved',
    'NewRun',
    'NoRunList',
    'NoSuchRun',
    'NotMoved',
    'NotReached',
    'NotRun',
    'PromptShape',
    'RelayPlacement',
    'RelayPlacer',
    'RelayRequest',
    'Reply',
    'ResumedRun',
    'RunList',
    'RunListResult',
    'RunningStreams',
    'Start',
    'Stopped',
    'StreamBroken',
    'StreamEvent',
    'StreamRelay',
    'Streaming',
    'TargetPort',
    'is_repeatable',
    'is_short',
]
