"""Stand-in for a model engine."""

from laburnumstep_standins.engine._app import EngineStandIn
from laburnumstep_standins.engine._cache import digest_prefixes
from laburnumstep_standins.engine._cache import PREFIX_BLOCK_CHARACTERS
from laburnumstep_standins.engine._config import EngineConfig
from laburnumstep_standins.engine._config import EngineFaults
from laburnumstep_standins.engine._config import LengthProfile
from laburnumstep_standins.engine._text import compute_token
from laburnumstep_standins.engine._text import count_prompt_tokens
from laburnumstep_standins.engine._text import draw_length

__all__ = [
    'EngineConfig',
    'EngineFaults',
    'EngineStandIn',
    'LengthProfile',
    'PREFIX_BLOCK_CHARACTERS',
    'compute_token',
    'count_prompt_tokens',
    'digest_prefixes',
    'draw_length',
]
