"""Callers of a deployment."""

from laburnumstep.callers._admission import Admission
from laburnumstep.callers._admission_queue import AdmissionRequest
from laburnumstep.callers._admission_queue import AdmissionResult
from laburnumstep.callers._admission_queue import Admitted
from laburnumstep.callers._admission_queue import Shed
from laburnumstep.callers._limits import Allowed
from laburnumstep.callers._limits import LimitResult
from laburnumstep.callers._limits import Refused
from laburnumstep.callers._limits import WorkspaceLimits
from laburnumstep.callers._shares import Demand
from laburnumstep.callers._shares import Share
from laburnumstep.callers._shares import ShareAllocator

__all__ = [
    'Admission',
    'AdmissionRequest',
    'AdmissionResult',
    'Admitted',
    'Allowed',
    'Demand',
    'LimitResult',
    'Refused',
    'Share',
    'ShareAllocator',
    'Shed',
    'WorkspaceLimits',
]
