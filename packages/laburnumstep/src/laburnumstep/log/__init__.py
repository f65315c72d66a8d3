"""Client, streams and followers of the platform's append-only log."""

from laburnumstep.log._changes import apply_changes
from laburnumstep.log._changes import Change
from laburnumstep.log._changes import diff_deployments
from laburnumstep.log._changes import PutPlace
from laburnumstep.log._changes import PutService
from laburnumstep.log._changes import PutTarget
from laburnumstep.log._changes import PutWorkspace
from laburnumstep.log._changes import RemovePlace
from laburnumstep.log._changes import RemoveService
from laburnumstep.log._changes import RemoveTarget
from laburnumstep.log._changes import RemoveWorkspace
from laburnumstep.log._changes import SetLinks
from laburnumstep.log._changes import SetWeights
from laburnumstep.log._claims_answers import ClaimAnswer
from laburnumstep.log._claims_answers import Expired
from laburnumstep.log._claims_answers import Granted
from laburnumstep.log._claims_answers import Held
from laburnumstep.log._claims_answers import KeyOutcome
from laburnumstep.log._claims_answers import NotValidYet
from laburnumstep.log._claims_answers import Settled
from laburnumstep.log._claims_answers import Taken
from laburnumstep.log._claims_answers import Unclaimed
from laburnumstep.log._claims_codec import decode_claim_answers
from laburnumstep.log._claims_codec import decode_claims
from laburnumstep.log._claims_codec import encode_claim_answers
from laburnumstep.log._claims_codec import encode_claims
from laburnumstep.log._claims_forward import ClaimForwarder
from laburnumstep.log._claims_forward import ForwardedRecords
from laburnumstep.log._claims_index import ClaimIndex
from laburnumstep.log._claims_records import ClaimRecord
from laburnumstep.log._claims_records import ClaimsRecord
from laburnumstep.log._claims_records import ReleaseRecord
from laburnumstep.log._claims_records import SettleRecord
from laburnumstep.log._claims_store import ClaimStore
from laburnumstep.log._claims_store import FIRST_REQUEST_SECONDS
from laburnumstep.log._claims_store import PARTITIONS
from laburnumstep.log._client import AppendRateExceeded
from laburnumstep.log._client import AppendResult
from laburnumstep.log._client import LogClient
from laburnumstep.log._client import LogUnavailable
from laburnumstep.log._configuration_codec import encode_change
from laburnumstep.log._configuration_codec import encode_publication
from laburnumstep.log._configuration_codec import encode_snapshot
from laburnumstep.log._epochs import EpochTracker
from laburnumstep.log._follower import CONFIGURATION_STREAM
from laburnumstep.log._follower import ConfigurationFollower
from laburnumstep.log._keyed_follower import EpochChanged
from laburnumstep.log._keyed_follower import HistoryLost
from laburnumstep.log._keyed_follower import KeyedFollower
from laburnumstep.log._keyed_follower import KeyedPage
from laburnumstep.log._keyed_follower import KeyedReader
from laburnumstep.log._keyed_follower import KeyedRecord
from laburnumstep.log._keyed_follower import KeyedTopic
from laburnumstep.log._keyed_follower import TopicPosition
from laburnumstep.log._keyed_follower import TopicUnavailable
from laburnumstep.log._lease_keeper import LeaseKeeper
from laburnumstep.log._lease_keeper import LEASES_STREAM
from laburnumstep.log._lease_table import AcquireRecord
from laburnumstep.log._lease_table import Lease
from laburnumstep.log._lease_table import LEASE_SECONDS
from laburnumstep.log._lease_table import LeaseTable
from laburnumstep.log._publications import Publication
from laburnumstep.log._publications import Snapshot
from laburnumstep.log._publications import SnapshotHeader
from laburnumstep.log._publisher import ConfigurationPublisher
from laburnumstep.log._publisher import Conflict
from laburnumstep.log._publisher import NotNeeded
from laburnumstep.log._publisher import Prepared
from laburnumstep.log._publisher import PrepareResult
from laburnumstep.log._publisher import Published
from laburnumstep.log._publisher import PublishResult
from laburnumstep.log._publisher import WrongDeployment
from laburnumstep.log._records import LogPage
from laburnumstep.log._records import LogRecord
from laburnumstep.log._replay import ConfigurationReplay
from laburnumstep.log._republisher import SnapshotRepublisher
from laburnumstep.log._snapshots import AppendSnapshot
from laburnumstep.log._snapshots import decide_snapshot
from laburnumstep.log._snapshots import FollowerView
from laburnumstep.log._snapshots import NoSnapshot
from laburnumstep.log._snapshots import SnapshotDecision
from laburnumstep.log._topic_cache import Fingerprint
from laburnumstep.log._topic_cache import FingerprintCheck
from laburnumstep.log._topic_cache import TopicCache

__all__ = [
    'AcquireRecord',
    'AppendRateExceeded',
    'AppendResult',
    'AppendSnapshot',
    'CONFIGURATION_STREAM',
    'Change',
    'ClaimAnswer',
    'ClaimForwarder',
    'ClaimIndex',
    'ClaimRecord',
    'ClaimStore',
    'ClaimsRecord',
    'ConfigurationFollower',
    'ConfigurationPublisher',
    'ConfigurationReplay',
    'Conflict',
    'Expired',
    'FIRST_REQUEST_SECONDS',
    'FollowerView',
    'Fingerprint',
    'FingerprintCheck',
    'ForwardedRecords',
    'Granted',
    'Held',
    'EpochChanged',
    'EpochTracker',
    'HistoryLost',
    'KeyOutcome',
    'KeyedFollower',
    'KeyedPage',
    'KeyedReader',
    'KeyedRecord',
    'KeyedTopic',
    'LEASES_STREAM',
    'LEASE_SECONDS',
    'Lease',
    'LeaseKeeper',
    'LeaseTable',
    'LogClient',
    'LogPage',
    'LogRecord',
    'LogUnavailable',
    'NoSnapshot',
    'NotNeeded',
    'NotValidYet',
    'PARTITIONS',
    'PrepareResult',
    'Prepared',
    'Publication',
    'PublishResult',
    'Published',
    'PutPlace',
    'PutService',
    'PutTarget',
    'PutWorkspace',
    'ReleaseRecord',
    'RemovePlace',
    'RemoveService',
    'RemoveTarget',
    'RemoveWorkspace',
    'SetLinks',
    'SetWeights',
    'SettleRecord',
    'Settled',
    'Snapshot',
    'SnapshotDecision',
    'SnapshotHeader',
    'SnapshotRepublisher',
    'Taken',
    'TopicCache',
    'TopicPosition',
    'TopicUnavailable',
    'Unclaimed',
    'WrongDeployment',
    'apply_changes',
    'decide_snapshot',
    'decode_claim_answers',
    'decode_claims',
    'diff_deployments',
    'encode_change',
    'encode_claim_answers',
    'encode_claims',
    'encode_publication',
    'encode_snapshot',
]
