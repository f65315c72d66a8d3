"""Where requests may run: allowed regions."""

from laburnumstep.targets.places._regions import allows
from laburnumstep.targets.places._regions import describe
from laburnumstep.targets.places._regions import intersect
from laburnumstep.targets.places._regions import list_names
from laburnumstep.targets.places._rules import Forbidden
from laburnumstep.targets.places._rules import Permitted
from laburnumstep.targets.places._rules import PlaceRules
from laburnumstep.targets.places._rules import Verdict

__all__ = [
    'Forbidden',
    'Permitted',
    'PlaceRules',
    'Verdict',
    'allows',
    'describe',
    'intersect',
    'list_names',
]
