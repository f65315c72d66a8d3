"""Conversion of sibling messages to and from protocol buffers."""

from __future__ import annotations

import json
import typing
import zlib

from laburnumstep import core
from laburnumstep.siblings import _entries
from laburnumstep.siblings import _messages
from laburnumstep.siblings import siblings_pb2 as pb

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
"""Largest decompressed configuration document, in bytes. A document with
10,000 workspaces takes about 2 MB."""
MAX_TOPIC_WAIT_SECONDS = 5.0
"""Longest wait of a sibling's read of a topic, in seconds."""
_KIND_NUMBERS = {
    _entries.EntryKind.VM: pb.Entry.VM,
    _entries.EntryKind.TARGET: pb.Entry.TARGET,
    _entries.EntryKind.CONFIGURATION: pb.Entry.CONFIGURATION,
    _entries.EntryKind.CRASH: pb.Entry.CRASH,
    _entries.EntryKind.DEMAND: pb.Entry.DEMAND,
    _entries.EntryKind.LENGTHS: pb.Entry.LENGTHS,
    _entries.EntryKind.LIMIT: pb.Entry.LIMIT,
    _entries.EntryKind.PACE: pb.Entry.PACE,
}
_KINDS_BY_NUMBER = {number: kind for kind, number in _KIND_NUMBERS.items()}
_VM_STATE_NUMBERS = {
    _entries.VMState.LIVE: pb.VMValue.LIVE,
    _entries.VMState.STOPPING: pb.VMValue.STOPPING,
    _entries.VMState.UNREACHABLE: pb.VMValue.UNREACHABLE,
}
_VM_STATES_BY_NUMBER = {
    number: state for state, number in _VM_STATE_NUMBERS.items()
}
_TARGET_STATE_NUMBERS = {
    _entries.TargetState.LEAVING: pb.TargetValue.LEAVING,
    _entries.TargetState.FAILED: pb.TargetValue.FAILED,
}
_TARGET_STATES_BY_NUMBER = {
    n: state for state, n in _TARGET_STATE_NUMBERS.items()
}


def encode_entry(entry: _entries.GossipEntry) -> pb.Entry:
    """Convert an entry to its protocol buffer."""
    encoded = pb.Entry(
        kind=_KIND_NUMBERS[entry.kind],
        subject=entry.subject,
        origin=entry.origin,
        stamp=entry.stamp,
        expires_at=entry.expires_at,
    )
    match entry.value:
        case _entries.VMValue() as vm:
            encoded.vm.state = _VM_STATE_NUMBERS[vm.state]
            encoded.vm.address = vm.address
            encoded.vm.data_centre = vm.data_centre
            encoded.vm.started_at = vm.started_at
            encoded.vm.observed = vm.observed
        case _entries.TargetValue(state, source):
            encoded.target.state = _TARGET_STATE_NUMBERS[state]
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
    """Convert a protocol buffer to an entry.

    Returns:
        The entry, or None if its kind, state or value is unknown.
    """
    kind = _KINDS_BY_NUMBER.get(encoded.kind)
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
            state = _VM_STATES_BY_NUMBER.get(vm.state)
            if state is None:
                return None
            return _entries.VMValue(
                state, vm.address, vm.data_centre, vm.started_at, vm.observed
            )
        case 'target':
            target = _TARGET_STATES_BY_NUMBER.get(encoded.target.state)
            if target is None:
                return None
            return _entries.TargetValue(target, encoded.target.source)
        case 'configuration':
            configuration = encoded.configuration
            return _entries.ConfigurationValue(
                configuration.version, configuration.digest
            )
        case 'data':
            return _entries.DataValue(encoded.data)
        case _:
            return None


def encode_message(
    message: _messages.SiblingMessage, now: float
) -> pb.SiblingMessage:
    """Convert a message to its protocol buffer.

    Args:
        message: The message.
        now: Current time of the local clock, in epoch seconds. Clocks of
            two VMs differ, so some times are sent as differences.
    """
    match message:
        case _messages.Heartbeat(sequence, vm):
            heartbeat = pb.Heartbeat(sequence=sequence, vm=vm)
            return pb.SiblingMessage(heartbeat=heartbeat)
        case _messages.HeartbeatAck(sequence, vm):
            heartbeat = pb.Heartbeat(sequence=sequence, vm=vm)
            return pb.SiblingMessage(heartbeat_ack=heartbeat)
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
        case _messages.EngineLoads():
            return pb.SiblingMessage(loads=_encode_loads(message, now))
        case _messages.PermitAsk():
            ask = pb.PermitAsk(
                sequence=message.sequence,
                vm=message.vm,
                target=message.target,
                rate=message.rate,
                age=now - message.named_at,
                count=message.count,
            )
            return pb.SiblingMessage(permit_ask=ask)
        case _messages.PermitReply(sequence, count, until):
            reply = pb.PermitReply(
                sequence=sequence, count=count, until=until - now
            )
            return pb.SiblingMessage(permit_reply=reply)
        case _:
            typing.assert_never(message)


def decode_message(
    encoded: pb.SiblingMessage, now: float
) -> tuple[_messages.SiblingMessage | None, int]:
    """Convert a protocol buffer to a message.

    Args:
        encoded: The protocol buffer.
        now: Current time of the local clock, in epoch seconds.

    Returns:
        The message, or None if its kind is unknown, and the number of its
        entries that could not be decoded.
    """
    match encoded.WhichOneof('message'):
        case 'heartbeat':
            heartbeat = encoded.heartbeat
            return _messages.Heartbeat(heartbeat.sequence, heartbeat.vm), 0
        case 'heartbeat_ack':
            heartbeat = encoded.heartbeat_ack
            return _messages.HeartbeatAck(heartbeat.sequence, heartbeat.vm), 0
        case 'entries':
            decoded = [decode_entry(e) for e in encoded.entries.entries]
            entries = [entry for entry in decoded if entry is not None]
            return _messages.Entries(entries), len(decoded) - len(entries)
        case 'root':
            return _messages.RootDigest(encoded.root.digest), 0
        case 'buckets':
            return _messages.BucketDigests(list(encoded.buckets.digests)), 0
        case 'summaries':
            summaries = encoded.summaries
            stamps = dict(zip(summaries.keys, summaries.stamps, strict=False))
            return _messages.BucketSummaries(
                list(summaries.buckets), stamps
            ), 0
        case 'wanted':
            return _messages.WantedKeys(list(encoded.wanted.keys)), 0
        case 'loads':
            return _decode_loads(encoded.loads, now), 0
        case 'permit_ask':
            ask = encoded.permit_ask
            return _messages.PermitAsk(
                ask.sequence,
                ask.vm,
                ask.target,
                ask.rate if ask.HasField('rate') else None,
                now - max(0.0, ask.age),
                ask.count,
            ), 0
        case 'permit_reply':
            reply = encoded.permit_reply
            return _messages.PermitReply(
                reply.sequence, reply.count, now + reply.until
            ), 0
        case _:
            return None, 0


def _encode_loads(
    message: _messages.EngineLoads, now: float
) -> pb.EngineLoads:
    return pb.EngineLoads(
        loads=[
            pb.EngineLoad(
                target=load.target,
                age=now - load.measured_at,
                running=load.running,
                waiting=load.waiting,
                kv_used=load.kv_used,
                kv_total=load.kv_total,
                reclaim_in=None
                if load.reclaim_at is None
                else load.reclaim_at - now,
            )
            for load in message.loads
        ],
        sends=[
            pb.EngineSend(
                target=send.target,
                vm=send.vm,
                age=now - send.sent_at,
                prompt_tokens=send.prompt_tokens,
                part_digests=[digest for digest, _ in send.parts],
                part_tokens=[tokens for _, tokens in send.parts],
                gap_ms=round(1000 * (send.gap_seconds or 0.0)),
                expected_tokens=send.expected_tokens,
            )
            for send in message.sends
        ],
        distribute=message.distribute,
    )


def _decode_loads(
    encoded: pb.EngineLoads, now: float
) -> _messages.EngineLoads:
    loads = [
        _messages.EngineLoad(
            load.target,
            now - max(0.0, load.age),
            load.running,
            load.waiting,
            load.kv_used,
            load.kv_total,
            now + load.reclaim_in if load.HasField('reclaim_in') else None,
        )
        for load in encoded.loads
    ]
    sends = [
        _messages.EngineSend(
            send.target,
            send.vm,
            now - max(0.0, send.age),
            send.prompt_tokens,
            tuple(zip(send.part_digests, send.part_tokens, strict=False)),
            send.gap_ms / 1000 if send.gap_ms else None,
            send.expected_tokens,
        )
        for send in encoded.sends
    ]
    return _messages.EngineLoads(loads, sends, encoded.distribute)


def encode_topic_read(
    request: _messages.TopicRead, now: float
) -> pb.TopicRequest:
    """Convert a read of a topic to its request."""
    return pb.TopicRequest(
        topic=request.topic,
        newest=request.newest,
        epoch=request.epoch,
        start=request.start,
        wait=max(0.0, request.wait_until - now),
    )


def decode_topic_read(
    encoded: pb.TopicRequest, now: float
) -> _messages.TopicRead:
    """Convert a request to the read of a topic.

    The deadline of the read is the end of its wait.
    """
    wait_until = now + min(encoded.wait, MAX_TOPIC_WAIT_SECONDS)
    return _messages.TopicRead(
        encoded.topic,
        encoded.newest,
        encoded.epoch,
        encoded.start,
        wait_until,
        wait_until,
    )


def encode_topic_answer(
    answer: _messages.TopicAnswer, now: float
) -> pb.TopicReply:
    """Convert the answer to a read of a topic to its reply."""
    match answer:
        case _messages.TopicPage():
            return pb.TopicReply(
                status=pb.TopicReply.PAGE,
                records=[
                    pb.TopicRecord(
                        key=record.key,
                        value=record.value,
                        offset=record.offset,
                    )
                    for record in answer.records
                ],
                epoch=answer.epoch,
                next_offset=answer.next_offset,
                age=max(0.0, now - answer.complete_at),
            )
        case _messages.TopicHistoryLost(epoch_changed=True):
            return pb.TopicReply(status=pb.TopicReply.EPOCH_CHANGED)
        case _messages.TopicHistoryLost():
            return pb.TopicReply(status=pb.TopicReply.HISTORY_LOST)
        case _messages.TopicUnavailable():
            return pb.TopicReply(status=pb.TopicReply.UNAVAILABLE)
        case _:
            typing.assert_never(answer)


def decode_topic_answer(
    encoded: pb.TopicReply, now: float
) -> _messages.TopicAnswer:
    """Convert a reply to the answer to a read of a topic."""
    match encoded.status:
        case pb.TopicReply.PAGE:
            records = [
                _messages.TopicRecord(
                    record.key,
                    record.value if record.HasField('value') else None,
                    record.offset,
                )
                for record in encoded.records
            ]
            return _messages.TopicPage(
                records,
                encoded.epoch,
                encoded.next_offset,
                now - encoded.age,
            )
        case pb.TopicReply.HISTORY_LOST:
            return _messages.TopicHistoryLost()
        case pb.TopicReply.EPOCH_CHANGED:
            return _messages.TopicHistoryLost(epoch_changed=True)
        case _:
            return _messages.TopicUnavailable()


def encode_configuration(
    configuration: core.VersionedDeployment,
) -> pb.FetchReply:
    """Convert a configuration to the reply that carries it."""
    document = core.encode_document(configuration.deployment)
    return pb.FetchReply(
        version=configuration.version,
        digest=configuration.digest,
        through=configuration.through,
        document=zlib.compress(json.dumps(document).encode()),
    )


def decode_configuration(
    reply: pb.FetchReply, source: str
) -> core.VersionedDeployment | None:
    """Convert a reply to the configuration that it carries.

    Args:
        reply: Reply of a sibling.
        source: Address of the sibling, named in findings.

    Returns:
        The configuration, or None if the sibling has no newer one.

    Raises:
        FindingsError: The document is invalid or does not match its digest.
    """
    if not reply.version:
        return None
    text = _decompress(reply.document, source)
    data = core.load_json(text, source)
    deployment = core.decode_document(data, core.Deployment, source)
    digest = core.digest_deployment(deployment)
    if digest != reply.digest:
        message = f'the digest of the document is {digest}, not {reply.digest}'
        raise _make_findings_error(source, 'wrong_digest', message)
    return core.VersionedDeployment(
        reply.version, digest, reply.through, deployment
    )


def _decompress(document: bytes, source: str) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(document, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise _make_findings_error(
            source, 'bad_compression', str(error)
        ) from error
    if not decompressor.eof:
        message = (
            f'the document is incomplete or above {MAX_DOCUMENT_BYTES} bytes'
        )
        raise _make_findings_error(source, 'bad_compression', message)
    return text


def _make_findings_error(
    source: str, code: str, message: str
) -> core.FindingsError:
    position = core.SourcePosition(source)
    return core.FindingsError([core.Finding(position, code, message)])


def encode_refusal(error: core.CodedError) -> pb.ClaimReply:
    """Convert an error of the claim handler to a reply."""
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
    """Convert a refusal to the error that the owner's handler raised."""
    resend_at = refusal.resend_at if refusal.HasField('resend_at') else None
    return core.CodedError(
        core.ErrorCode(refusal.code),
        refusal.message,
        core.Outcome(refusal.outcome),
        refusal.resend,
        resend_at,
    )
