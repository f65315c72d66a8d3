"""Interface to operators: status, decisions and drain orders over HTTP."""

from laburnumstep.operators._app import OperatorsApp
from laburnumstep.operators._decisions import Decision
from laburnumstep.operators._decisions import DecisionLog
from laburnumstep.operators._records import ClearTraits
from laburnumstep.operators._records import CulpritOrder
from laburnumstep.operators._records import CulpritSource
from laburnumstep.operators._records import DrainHandler
from laburnumstep.operators._records import DrainOrder
from laburnumstep.operators._records import DrainTarget
from laburnumstep.operators._records import DrainVM
from laburnumstep.operators._records import RefuseTraits
from laburnumstep.operators._records import StatusSource
from laburnumstep.operators._records import VMStatus

__all__ = [
    'ClearTraits',
    'CulpritOrder',
    'CulpritSource',
    'Decision',
    'DecisionLog',
    'DrainHandler',
    'DrainOrder',
    'DrainTarget',
    'DrainVM',
    'OperatorsApp',
    'RefuseTraits',
    'StatusSource',
    'VMStatus',
]
