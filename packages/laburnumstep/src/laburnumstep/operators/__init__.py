"""Interface to operators: status, decisions and drain orders over HTTP."""

from laburnumstep.operators._app import OperatorsApp
from laburnumstep.operators._decisions import Decision
from laburnumstep.operators._decisions import DecisionLog
from laburnumstep.operators._records import DrainHandler
from laburnumstep.operators._records import DrainOrder
from laburnumstep.operators._records import DrainTarget
from laburnumstep.operators._records import DrainVM
from laburnumstep.operators._records import StatusSource
from laburnumstep.operators._records import VMStatus

__all__ = [
    'Decision',
    'DecisionLog',
    'DrainHandler',
    'DrainOrder',
    'DrainTarget',
    'DrainVM',
    'OperatorsApp',
    'StatusSource',
    'VMStatus',
]
