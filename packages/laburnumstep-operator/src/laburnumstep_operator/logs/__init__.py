"""The logs that VMs write to standard output."""

from laburnumstep_operator.logs._account import Account
from laburnumstep_operator.logs._account import AccountLine
from laburnumstep_operator.logs._account import build_account
from laburnumstep_operator.logs._reader import LogLine
from laburnumstep_operator.logs._reader import read_folder

__all__ = [
    'Account',
    'AccountLine',
    'LogLine',
    'build_account',
    'read_folder',
]
