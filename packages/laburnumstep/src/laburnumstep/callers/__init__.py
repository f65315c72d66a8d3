"""Interface to callers: admission, limits, placement and responses."""

from laburnumstep.callers._active_routes import ActiveRoutes
from laburnumstep.callers._admission import Admission
from laburnumstep.callers._admission_queue import AdmissionRequest
from laburnumstep.callers._admission_queue import AdmissionResult
from laburnumstep.callers._admission_queue import Admitted
from laburnumstep.callers._admission_queue import Shed
from laburnumstep.callers._app import CallersApp
from laburnumstep.callers._candidates import LOCAL_CANDIDATES
from laburnumstep.callers._candidates import LOCAL_SUBSTITUTES
from laburnumstep.callers._candidates import REMOTE_CANDIDATES
from laburnumstep.callers._candidates import REMOTE_SUBSTITUTES
from laburnumstep.callers._engine_placer import EnginePlacer
from laburnumstep.callers._engine_placer import RoutingState
from laburnumstep.callers._gate import RequestGate
from laburnumstep.callers._handles import HandleSigner
from laburnumstep.callers._handles import ResumeHandle
from laburnumstep.callers._limits import Allowed
from laburnumstep.callers._limits import LimitResult
from laburnumstep.callers._limits import Refused
from laburnumstep.callers._limits import WorkspaceLimits
from laburnumstep.callers._relay_placer import RelayPlacer
from laburnumstep.callers._shares import Demand
from laburnumstep.callers._shares import Share
from laburnumstep.callers._shares import ShareAllocator

__all__ = [
    'ActiveRoutes',
    'Admission',
    'AdmissionRequest',
    'AdmissionResult',
    'Admitted',
    'Allowed',
    'CallersApp',
    'Demand',
    'EnginePlacer',
    'HandleSigner',
    'LOCAL_CANDIDATES',
    'LOCAL_SUBSTITUTES',
    'LimitResult',
    'REMOTE_CANDIDATES',
    'REMOTE_SUBSTITUTES',
    'Refused',
    'RelayPlacer',
    'RequestGate',
    'ResumeHandle',
    'RoutingState',
    'Share',
    'ShareAllocator',
    'Shed',
    'WorkspaceLimits',
]
