"""Client and follower of the platform's list of live and leaving VMs."""

from laburnumstep.vmlist._client import VMListClient
from laburnumstep.vmlist._client import VMListUnavailable
from laburnumstep.vmlist._follower import VMListFollower
from laburnumstep.vmlist._follower import VMListReader
from laburnumstep.vmlist._records import Current
from laburnumstep.vmlist._records import ListedState
from laburnumstep.vmlist._records import ListedVM
from laburnumstep.vmlist._records import ListStatus
from laburnumstep.vmlist._records import NotRead
from laburnumstep.vmlist._records import Outdated
from laburnumstep.vmlist._records import VMKind
from laburnumstep.vmlist._records import VMList

__all__ = [
    'Current',
    'ListStatus',
    'ListedState',
    'ListedVM',
    'NotRead',
    'Outdated',
    'VMKind',
    'VMList',
    'VMListClient',
    'VMListFollower',
    'VMListReader',
    'VMListUnavailable',
]
