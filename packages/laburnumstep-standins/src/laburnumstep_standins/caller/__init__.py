"""A client that checks the delivery guarantees for callers."""

from laburnumstep_standins.caller._answers import Answer
from laburnumstep_standins.caller._answers import Broken
from laburnumstep_standins.caller._answers import CallReply
from laburnumstep_standins.caller._caller import Caller

__all__ = ['Answer', 'Broken', 'CallReply', 'Caller']
