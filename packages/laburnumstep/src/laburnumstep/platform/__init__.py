"""Runs an entry VM on the firms' platform.

All names of the platform's interfaces are decoded here, into the types of
the other packages.
"""

from laburnumstep.platform._settings import load_settings
from laburnumstep.platform._settings import NodeSettings
from laburnumstep.platform._settings import SETTINGS_VARIABLE
from laburnumstep.platform._vm import PlatformVM
from laburnumstep.platform._vm import run_vm

__all__ = [
    'NodeSettings',
    'PlatformVM',
    'SETTINGS_VARIABLE',
    'load_settings',
    'run_vm',
]
