"""Stand-in for the platform's append-only log."""

from laburnumstep_standins.log._app import LogStandIn
from laburnumstep_standins.log._streams import LogFaults
from laburnumstep_standins.log._streams import RateExceeded
from laburnumstep_standins.log._streams import Stream

__all__ = ['LogFaults', 'LogStandIn', 'RateExceeded', 'Stream']
