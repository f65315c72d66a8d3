"""Encoding of sibling messages as protocol buffers."""

from __future__ import annotations

import json
import typing
import zlib

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _messages
from laburnumstep.siblings import siblings_pb2 as pb

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
"""Largest configuration document; 10,000 workspaces make about 2 MB."""
_KINDS = {
    _entries.EntryKind.VM: pb.Entry.VM,
    _entries.EntryKind.TARGET: pb.Entry.TARGET,
    _entries.EntryKind.CONFIGURATION: pb.Entry.CONFIGURATION,
    _entries.EntryKind.CRASH: pb.Entry.CRASH,
    _entries.EntryKind.DEMAND: pb.Entry.DEMAND,
    _entries.EntryKind.LENGTHS: pb.Entry.LENGTHS,
}
_KINDS_READ = {number: kind for kind, number in _KINDS.items()}
_VM_STATES = {
    _entries.VMState.LIVE: pb.VMValue.LIVE,
    _entries.VMState.STOPPING: pb.VMValue.STOPPING,
    _entries.VMState.UNREACHABLE: pb.VMValue.UNREACHABLE,
}
_VM_STATES_READ = {number: state for state, number in _VM_STATES.items()}
_TARGET_STATES = {
    _entries.TargetState.LEAVING: pb.TargetValue.LEAVING,
    _entries.TargetState.FAILED: pb.TargetValue.FAILED,
}
_TARGET_STATES_READ = {n: state for state, n in _TARGET_STATES.items()}


def encode_entry(entry: _entries.GossipEntry) -> pb.Entry:
    """Return an entry as a protocol buffer."""
    encoded = pb.Entry(
        kind=_KINDS[entry.kind],
        subject=entry.subject,
        origin=entry.origin,
        stamp=entry.stamp,
        expires_at=entry.expires_at,
    )
    match entry.value:
        case _entries.VMValue() as vm:
            encoded.vm.state = _VM_STATES[vm.state]
            encoded.vm.address = vm.address
            encoded.vm.data_centre = vm.data_centre
            encoded.vm.started_at = vm.started_at
            encoded.vm.observed = vm.observed
        case _entries.TargetValue(state, source):
            encoded.target.state = _TARGET_STATES[state]
            encoded.target.source = source
        case _entries.ConfigurationValue(version, digest):
            encoded.configuration.version = version
            encoded.configuration.digest = digest
        case _entries.DataValue(data):
            encoded.data = data
        case _:
            typing.assert_never(entry.value)
    return encoded


def decode_entry(encoded: pb.Entry) -> _entries.GossipEntry | None:
    """Read an entry; None where its kind, state or value is not known."""
    kind = _KINDS_READ.get(encoded.kind)
    value = _decode_value(encoded)
    if kind is None or value is None:
        return None
    return _entries.GossipEntry(
        kind,
        encoded.subject,
        encoded.origin,
        encoded.stamp,
        value,
        encoded.expires_at,
    )


def _decode_value(encoded: pb.Entry) -> _entries.EntryValue | None:
    match encoded.WhichOneof('value'):
        case 'vm':
            vm = encoded.vm
            state = _VM_STATES_READ.get(vm.state)
            if state is None:
                return None
            return _entries.VMValue(
                state, vm.address, vm.data_centre, vm.started_at, vm.observed
            )
        case 'target':
            target = _TARGET_STATES_READ.get(encoded.target.state)
            if target is None:
                return None
            return _entries.TargetValue(target, encoded.target.source)
        case 'configuration':
            held = encoded.configuration
            return _entries.ConfigurationValue(held.version, held.digest)
        case 'data':
            return _entries.DataValue(encoded.data)
        case _:
            return None


def encode_message(message: _messages.SiblingMessage) -> pb.SiblingMessage:
    """Return a message as a protocol buffer."""
    match message:
        case _messages.Heartbeat(sequence, vm):
            beat = pb.Heartbeat(sequence=sequence, vm=vm)
            return pb.SiblingMessage(heartbeat=beat)
        case _messages.HeartbeatAck(sequence, vm):
            beat = pb.Heartbeat(sequence=sequence, vm=vm)
            return pb.SiblingMessage(heartbeat_ack=beat)
        case _messages.Entries(entries):
            encoded = pb.Entries(entries=[encode_entry(e) for e in entries])
            return pb.SiblingMessage(entries=encoded)
        case _messages.RootDigest(digest):
            return pb.SiblingMessage(root=pb.RootDigest(digest=digest))
        case _messages.BucketDigests(digests):
            buckets = pb.BucketDigests(digests=digests)
            return pb.SiblingMessage(buckets=buckets)
        case _messages.BucketSummaries(numbers, stamps):
            summaries = pb.BucketSummaries(
                buckets=numbers, keys=stamps.keys(), stamps=stamps.values()
            )
            return pb.SiblingMessage(summaries=summaries)
        case _messages.WantedKeys(keys):
            return pb.SiblingMessage(wanted=pb.WantedKeys(keys=keys))
        case _:
            typing.assert_never(message)


def decode_message(
    encoded: pb.SiblingMessage,
) -> tuple[_messages.SiblingMessage | None, int]:
    """Read a message.

    Returns:
        The message, None where its kind is not known, and the number of
        its entries that could not be read.
    """
    match encoded.WhichOneof('message'):
        case 'heartbeat':
            beat = encoded.heartbeat
            return _messages.Heartbeat(beat.sequence, beat.vm), 0
        case 'heartbeat_ack':
            beat = encoded.heartbeat_ack
            return _messages.HeartbeatAck(beat.sequence, beat.vm), 0
        case 'entries':
            read = [decode_entry(e) for e in encoded.entries.entries]
            entries = [entry for entry in read if entry is not None]
            return _messages.Entries(entries), len(read) - len(entries)
        case 'root':
            return _messages.RootDigest(encoded.root.digest), 0
        case 'buckets':
            return _messages.BucketDigests(list(encoded.buckets.digests)), 0
        case 'summaries':
            sent = encoded.summaries
            stamps = dict(zip(sent.keys, sent.stamps, strict=False))
            return _messages.BucketSummaries(list(sent.buckets), stamps), 0
        case 'wanted':
            return _messages.WantedKeys(list(encoded.wanted.keys)), 0
        case _:
            return None, 0


def encode_configuration(
    held: core.VersionedDeployment,
) -> pb.FetchReply:
    """Return a configuration as a protocol buffer."""
    document = core.encode_document(held.deployment)
    return pb.FetchReply(
        version=held.version,
        digest=held.digest,
        through=held.through,
        document=zlib.compress(json.dumps(document).encode()),
    )


def decode_configuration(
    reply: pb.FetchReply, source: str
) -> core.VersionedDeployment | None:
    """Read a configuration; None where the sibling has nothing newer.

    Raises:
        FindingsError: The document has mistakes or another digest.
    """
    if not reply.version:
        return None
    text = _decompress(reply.document, source)
    data = core.load_json(text, source)
    deployment = core.decode_document(data, core.Deployment, source)
    digest = core.digest_deployment(deployment)
    if digest != reply.digest:
        message = f'the digest is {digest}, announced as {reply.digest}'
        raise _refuse(source, 'wrong_digest', message)
    return core.VersionedDeployment(
        reply.version, digest, reply.through, deployment
    )


def _decompress(document: bytes, source: str) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(document, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise _refuse(source, 'bad_compression', str(error)) from error
    if not decompressor.eof:
        message = f'incomplete or above {MAX_DOCUMENT_BYTES} bytes'
        raise _refuse(source, 'bad_compression', message)
    return text


def _refuse(source: str, code: str, message: str) -> core.FindingsError:
    position = core.SourcePosition(source)
    return core.FindingsError([core.Finding(position, code, message)])


def encode_refusal(error: core.CodedError) -> pb.ClaimReply:
    """Return an error of the claim handler as a protocol buffer."""
    return pb.ClaimReply(
        refusal=pb.Refusal(
            code=error.code.value,
            message=error.message,
            outcome=error.outcome.value,
            resend=error.resend,
            resend_at=error.resend_at,
        )
    )


def decode_refusal(refusal: pb.Refusal) -> core.CodedError:
    """Read an error of the owner's claim handler."""
    resend_at = refusal.resend_at if refusal.HasField('resend_at') else None
    return core.CodedError(
        core.ErrorCode(refusal.code),
        refusal.message,
        core.Outcome(refusal.outcome),
        refusal.resend,
        resend_at,
    )
