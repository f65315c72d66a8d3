"""Communication with the other entry VMs of the deployment.

Covers gossip, VM membership, target reports, the distribution of
configurations and the forwarding of claim records.
"""

from laburnumstep.siblings._callbacks import MembershipCallbacks
from laburnumstep.siblings._connection import fetch_configuration
from laburnumstep.siblings._connection import SiblingConnection
from laburnumstep.siblings._connection import SiblingUnavailable
from laburnumstep.siblings._entries import ConfigurationValue
from laburnumstep.siblings._entries import DataValue
from laburnumstep.siblings._entries import EntryKey
from laburnumstep.siblings._entries import EntryKind
from laburnumstep.siblings._entries import EntryValue
from laburnumstep.siblings._entries import GossipEntry
from laburnumstep.siblings._entries import TargetState
from laburnumstep.siblings._entries import TargetValue
from laburnumstep.siblings._entries import VMState
from laburnumstep.siblings._entries import VMValue
from laburnumstep.siblings._links import GrpcLinks
from laburnumstep.siblings._links import SiblingLinks
from laburnumstep.siblings._members import Member
from laburnumstep.siblings._members import MemberState
from laburnumstep.siblings._membership import Membership
from laburnumstep.siblings._messages import ClaimForward
from laburnumstep.siblings._messages import DatagramMessage
from laburnumstep.siblings._messages import EngineLoad
from laburnumstep.siblings._messages import EngineLoads
from laburnumstep.siblings._messages import EngineSend
from laburnumstep.siblings._messages import PermitAsk
from laburnumstep.siblings._messages import PermitReply
from laburnumstep.siblings._messages import SiblingMessage
from laburnumstep.siblings._messages import TopicAnswer
from laburnumstep.siblings._messages import TopicHistoryLost
from laburnumstep.siblings._messages import TopicPage
from laburnumstep.siblings._messages import TopicRead
from laburnumstep.siblings._messages import TopicRecord
from laburnumstep.siblings._messages import TopicUnavailable
from laburnumstep.siblings._presence import Identity
from laburnumstep.siblings._publishing import EntrySiblings
from laburnumstep.siblings._server import SiblingHandler
from laburnumstep.siblings._server import SiblingServer
from laburnumstep.siblings._store import GossipStore
from laburnumstep.siblings._store import MergeResult
from laburnumstep.siblings._targets import Availability
from laburnumstep.siblings._targets import TargetReport
from laburnumstep.siblings._targets import TargetStatus

__all__ = [
    'Availability',
    'ClaimForward',
    'ConfigurationValue',
    'DataValue',
    'DatagramMessage',
    'EngineLoad',
    'EngineLoads',
    'EngineSend',
    'EntryKey',
    'EntryKind',
    'EntrySiblings',
    'EntryValue',
    'GossipEntry',
    'GossipStore',
    'GrpcLinks',
    'Identity',
    'Member',
    'MemberState',
    'Membership',
    'MembershipCallbacks',
    'MergeResult',
    'PermitAsk',
    'PermitReply',
    'SiblingConnection',
    'SiblingHandler',
    'SiblingLinks',
    'SiblingMessage',
    'SiblingServer',
    'SiblingUnavailable',
    'TargetReport',
    'TargetState',
    'TargetStatus',
    'TargetValue',
    'TopicAnswer',
    'TopicHistoryLost',
    'TopicPage',
    'TopicRead',
    'TopicRecord',
    'TopicUnavailable',
    'VMState',
    'VMValue',
    'fetch_configuration',
]
