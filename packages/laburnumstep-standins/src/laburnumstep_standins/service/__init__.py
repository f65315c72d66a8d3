"""Stand-in for a plain service."""

from laburnumstep_standins.service._app import ServiceStandIn
from laburnumstep_standins.service._ledger import Ledger
from laburnumstep_standins.service._ledger import ServiceFaults

__all__ = ['Ledger', 'ServiceFaults', 'ServiceStandIn']
