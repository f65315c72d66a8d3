"""Client of the platform's weight store, and permits that limit its use."""

from laburnumstep.weights._client import Fetched
from laburnumstep.weights._client import FetchResult
from laburnumstep.weights._client import StoreUnavailable
from laburnumstep.weights._client import TooManyFetches
from laburnumstep.weights._client import WeightClient
from laburnumstep.weights._fetcher import WeightFetcher
from laburnumstep.weights._permits import FetchPermits
from laburnumstep.weights._permits import Permit
from laburnumstep.weights._schedule import FetchRecord
from laburnumstep.weights._schedule import FetchSchedule

__all__ = [
    'FetchPermits',
    'FetchRecord',
    'FetchResult',
    'FetchSchedule',
    'Fetched',
    'Permit',
    'StoreUnavailable',
    'TooManyFetches',
    'WeightClient',
    'WeightFetcher',
]
