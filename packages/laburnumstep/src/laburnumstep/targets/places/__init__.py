"""Where requests may run: allowed regions, evacuated data centres."""

from laburnumstep.targets.places._evacuations import Evacuations
from laburnumstep.targets.places._regions import allows
from laburnumstep.targets.places._regions import intersect
from laburnumstep.targets.places._regions import list_names
from laburnumstep.targets.places._rules import Forbidden
from laburnumstep.targets.places._rules import Permitted
from laburnumstep.targets.places._rules import PlaceRules
from laburnumstep.targets.places._rules import Verdict

__all__ = [
    'Evacuations',
    'Forbidden',
    'Permitted',
    'PlaceRules',
    'Verdict',
    'allows',
    'intersect',
    'list_names',
]
