"""Stand-in for the platform's weight store."""

from laburnumstep_standins.weights._app import WeightFaults
from laburnumstep_standins.weights._app import WeightStandIn

__all__ = ['WeightFaults', 'WeightStandIn']
