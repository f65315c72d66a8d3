"""Stand-in for the platform's VM list."""

from laburnumstep_standins.vmlist._app import VMListFaults
from laburnumstep_standins.vmlist._app import VMListStandIn

__all__ = ['VMListFaults', 'VMListStandIn']
