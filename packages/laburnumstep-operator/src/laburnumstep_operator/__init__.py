"""Operators' library of laburnumstep.

A program declares a deployment with `DeploymentBuilder` and prints its
configuration document. The `laburnumstep-operator` command checks and
publishes that document.
"""

from laburnumstep.core import digest_secret
from laburnumstep.core import Operation
from laburnumstep_operator._builder import DeploymentBuilder
from laburnumstep_operator._checks import check_deployment
from laburnumstep_operator._checks import Item
from laburnumstep_operator._checks import Problem

__all__ = [
    'DeploymentBuilder',
    'Item',
    'Operation',
    'Problem',
    'check_deployment',
    'digest_secret',
]
