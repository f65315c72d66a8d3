"""A caller that checks what it is promised."""

from laburnumstep_standins.caller._answers import Answer
from laburnumstep_standins.caller._answers import Broken
from laburnumstep_standins.caller._answers import CallReply
from laburnumstep_standins.caller._caller import Caller

__all__ = ['Answer', 'Broken', 'CallReply', 'Caller']
