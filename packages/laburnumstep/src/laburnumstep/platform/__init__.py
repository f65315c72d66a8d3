"""Runs an entry VM on a firm's platform.

This package alone knows the names of the platform's interfaces. It decodes
them into the types of the other packages.
"""

from laburnumstep.platform._settings import load_settings
from laburnumstep.platform._settings import PlatformVMSettings
from laburnumstep.platform._settings import SETTINGS_VARIABLE
from laburnumstep.platform._vm import PlatformVM
from laburnumstep.platform._vm import run_vm

__all__ = [
    'PlatformVM',
    'PlatformVMSettings',
    'SETTINGS_VARIABLE',
    'load_settings',
    'run_vm',
]
