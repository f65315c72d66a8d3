"""Sibling VMs on an in-process network with injected faults."""

from laburnumstep_standins.siblings._fleet import Fleet
from laburnumstep_standins.siblings._fleet import FleetVM
from laburnumstep_standins.siblings._fleet import ShiftedClock
from laburnumstep_standins.siblings._network import NetworkFaults
from laburnumstep_standins.siblings._network import NetworkLinks
from laburnumstep_standins.siblings._network import SiblingNetwork
from laburnumstep_standins.siblings._network import Traffic

__all__ = [
    'Fleet',
    'FleetVM',
    'NetworkFaults',
    'NetworkLinks',
    'ShiftedClock',
    'SiblingNetwork',
    'Traffic',
]
