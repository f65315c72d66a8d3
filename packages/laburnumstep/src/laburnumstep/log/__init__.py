"""The platform's append-only log."""

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
from laburnumstep.log._claim_answers import ClaimAnswer
from laburnumstep.log._claim_answers import Expired
from laburnumstep.log._claim_answers import Granted
from laburnumstep.log._claim_answers import Held
from laburnumstep.log._claim_answers import NotValidYet
from laburnumstep.log._claim_answers import Settled
from laburnumstep.log._claim_answers import Taken
from laburnumstep.log._client import AppendedAt
from laburnumstep.log._client import AppendRateExceeded
from laburnumstep.log._client import LogClient
from laburnumstep.log._client import LogUnavailable
from laburnumstep.log._configuration_codec import encode_change
from laburnumstep.log._configuration_codec import encode_publication
from laburnumstep.log._configuration_codec import encode_snapshot
from laburnumstep.log._follower import CONFIGURATION_STREAM
from laburnumstep.log._follower import ConfigurationFollower
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

__all__ = [
    'AppendRateExceeded',
    'AppendSnapshot',
    'AppendedAt',
    'CONFIGURATION_STREAM',
    'Change',
    'ClaimAnswer',
    'ConfigurationFollower',
    'ConfigurationPublisher',
    'ConfigurationReplay',
    'Conflict',
    'Expired',
    'FollowerView',
    'Granted',
    'Held',
    'LogClient',
    'LogPage',
    'LogRecord',
    'LogUnavailable',
    'NoSnapshot',
    'NotNeeded',
    'NotValidYet',
    'PrepareResult',
    'Prepared',
    'Publication',
    'PublishResult',
    'Published',
    'PutPlace',
    'PutService',
    'PutTarget',
    'PutWorkspace',
    'RemovePlace',
    'RemoveService',
    'RemoveTarget',
    'RemoveWorkspace',
    'SetLinks',
    'SetWeights',
    'Settled',
    'Snapshot',
    'SnapshotDecision',
    'SnapshotHeader',
    'SnapshotRepublisher',
    'Taken',
    'WrongDeployment',
    'apply_changes',
    'decide_snapshot',
    'diff_deployments',
    'encode_change',
    'encode_publication',
    'encode_snapshot',
]
