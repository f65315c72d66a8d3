<<<<<<< HEAD
"""Hooks of the target features."""
=======
"""Hooks of the targets' features."""
>>>>>>> routing

from support.hooks import after_scenario  # noqa: F401
from support.hooks import before_scenario  # noqa: F401
