"""Client for the operators' interface of entry VMs."""

from laburnumstep_operator.vms._client import Answered
from laburnumstep_operator.vms._client import Failed
from laburnumstep_operator.vms._client import NotFound
from laburnumstep_operator.vms._client import VMAnswer
from laburnumstep_operator.vms._client import VMClient
from laburnumstep_operator.vms._queries import drain
from laburnumstep_operator.vms._queries import fetch_culprits
from laburnumstep_operator.vms._queries import fetch_decisions
from laburnumstep_operator.vms._queries import fetch_status
from laburnumstep_operator.vms._queries import order_culprits

__all__ = [
    'Answered',
    'Failed',
    'NotFound',
    'VMAnswer',
    'VMClient',
    'drain',
    'fetch_culprits',
    'fetch_decisions',
    'fetch_status',
    'order_culprits',
]
