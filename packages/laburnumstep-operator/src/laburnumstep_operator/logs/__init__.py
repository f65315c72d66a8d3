"""Reads the logs that VMs write to standard output."""

from laburnumstep_operator.logs._reader import LogLine
from laburnumstep_operator.logs._reader import read_folder
from laburnumstep_operator.logs._trace import build_trace
from laburnumstep_operator.logs._trace import RequestTrace
from laburnumstep_operator.logs._trace import TraceLine

__all__ = [
    'LogLine',
    'RequestTrace',
    'TraceLine',
    'build_trace',
    'read_folder',
]
