"""What the VMs of a fleet tell one another, and what follows from it.

Each module joins the siblings with one other package: it publishes what this
VM knows, applies what the siblings tell, and chooses by rank which VM acts for
the others. Messages are encoded by `siblings`; decisions stand in the packages
that are joined.
"""

from laburnumstep.fleet._claim_forwarding import serve_claims
from laburnumstep.fleet._claim_forwarding import SiblingClaims
from laburnumstep.fleet._crash_archive import CrashArchive
from laburnumstep.fleet._crash_exchange import CrashExchange
from laburnumstep.fleet._load_sharing import LoadSharing
from laburnumstep.fleet._load_sharing import LoadSiblings
from laburnumstep.fleet._load_sharing import READ_INTERVAL_SECONDS
from laburnumstep.fleet._pace_exchange import PaceExchange
from laburnumstep.fleet._permit_exchange import PermitExchange
from laburnumstep.fleet._permit_exchange import PermitSiblings
from laburnumstep.fleet._routing_gossip import RoutingGossip
from laburnumstep.fleet._share_exchange import ShareExchange
from laburnumstep.fleet._topic_sharing import SharedTopic

__all__ = [
    'READ_INTERVAL_SECONDS',
    'CrashArchive',
    'CrashExchange',
    'LoadSharing',
    'LoadSiblings',
    'PaceExchange',
    'PermitExchange',
    'PermitSiblings',
    'RoutingGossip',
    'serve_claims',
    'SharedTopic',
    'ShareExchange',
    'SiblingClaims',
]
