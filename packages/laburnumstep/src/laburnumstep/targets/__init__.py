"""Targets: model engines and plain services."""

from laburnumstep.targets._service_calls import CallRunner
from laburnumstep.targets._service_calls import ClaimKeeper
from laburnumstep.targets._service_calls import RetryBudget
from laburnumstep.targets._service_client import Answered
from laburnumstep.targets._service_client import NotReached
from laburnumstep.targets._service_client import NotStarted
from laburnumstep.targets._service_client import ReplyLost
from laburnumstep.targets._service_client import ServiceAnswer
from laburnumstep.targets._service_client import ServiceClient
from laburnumstep.targets._service_client import ServiceClients

__all__ = [
    'Answered',
    'CallRunner',
    'ClaimKeeper',
    'NotReached',
    'NotStarted',
    'ReplyLost',
    'RetryBudget',
    'ServiceAnswer',
    'ServiceClient',
    'ServiceClients',
]
