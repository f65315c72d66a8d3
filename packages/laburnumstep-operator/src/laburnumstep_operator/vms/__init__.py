"""The operators' interface of entry VMs."""

from laburnumstep_operator.vms._client import Answered
from laburnumstep_operator.vms._client import Failed
from laburnumstep_operator.vms._client import NotFound
from laburnumstep_operator.vms._client import VMAnswer
from laburnumstep_operator.vms._client import VMClient
from laburnumstep_operator.vms._queries import drain
from laburnumstep_operator.vms._queries import explain
from laburnumstep_operator.vms._queries import fetch_status

__all__ = [
    'Answered',
    'Failed',
    'NotFound',
    'VMAnswer',
    'VMClient',
    'drain',
    'explain',
    'fetch_status',
]
