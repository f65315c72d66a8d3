"""JSON encoding of status, decisions and drain orders."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.operators import _records
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.operators import _decisions
    from laburnumstep import siblings

MAX_NAME_LENGTH = 256
"""Maximum length of a name in an order, in characters."""
MAX_TRAITS = 16
"""Maximum number of traits in an order."""


def encode_status(status: _records.VMStatus) -> core.DocumentObject:
    """Return the status of a VM as a JSON object."""
    return {
        'vm': status.vm,
        'data_centre': status.data_centre,
        'version': status.version,
        'digest': status.digest,
        'members': [_encode_member(member) for member in status.members],
        'targets': [_encode_target(target) for target in status.targets],
        'requests_in_progress': status.requests_in_progress,
        'stopping': status.stopping,
    }


def _encode_member(member: siblings.Member) -> core.DocumentObject:
    return {
        'name': member.name,
        'address': member.address,
        'data_centre': member.data_centre,
        'state': member.state.value,
        'said_by': member.reported_by,
    }


def _encode_target(status: siblings.TargetStatus) -> core.DocumentObject:
    return {
        'name': status.name,
        'status': status.availability.value,
        'reports': [
            {
                'state': report.state.value,
                'source': report.source,
                'vm': report.vm,
                'until': report.until,
            }
            for report in status.reports
        ],
    }


def encode_decision(decision: _decisions.Decision) -> core.DocumentObject:
    """Return a decision as a JSON object."""
    return {
        'request': decision.request,
        'workspace': decision.workspace,
        'target': decision.target,
        'reason': decision.reason,
        'runners_up': decision.runners_up,
        'decided_at': decision.decided_at,
    }


def decode_order(body: bytes) -> _records.DrainOrder:
    """Decode a drain order.

    Raises:
        CodedError: `bad_request` if the body is not a valid order.
    """
    data = _load_body(body)
    if not isinstance(data, dict) or len(data) != 1:
        raise _bad_request('the body must have either "target" or "vm"')
    field, name = next(iter(data.items()))
    if field not in ('target', 'vm'):
        raise _bad_request(f'the field "{field:.64}" is not known')
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise _bad_request(f'"{field}" must be a name')
    if field == 'target':
        return _records.DrainTarget(name)
    return _records.DrainVM(name)


def encode_culprit(culprit: targets.Culprit) -> core.DocumentObject:
    """Return what is refused, with its evidence, as a JSON object."""
    return {
        'traits': targets.describe_traits(culprit.traits).split(','),
        'crashes': culprit.crashes,
        'last_crash_at': culprit.last_crash_at,
        'refused_until': culprit.refused_until,
    }


def decode_culprit_order(body: bytes) -> _records.CulpritOrder:
    """Decode an order about traits.

    Raises:
        CodedError: `bad_request` if the body is not a valid order.
    """
    match _load_body(body):
        case {
            'refuse': list(texts),
            'until': float(until) | int(until),
            **rest,
        } if not rest:
            return _records.RefuseTraits(_parse_traits(texts), float(until))
        case {'clear': list(texts), **rest} if not rest:
            return _records.ClearTraits(_parse_traits(texts))
        case _:
            raise _bad_request(
                'the body must have "clear", or "refuse" and "until"'
            )


def _load_body(body: bytes) -> typing.Any:
    try:
        return core.load_json(body, 'body')
    except core.FindingsError as error:
        raise _bad_request(str(error)) from error


def _parse_traits(texts: list[typing.Any]) -> targets.Traits:
    if not 0 < len(texts) <= MAX_TRAITS:
        raise _bad_request(f'1 to {MAX_TRAITS} traits must be given')
    try:
        return frozenset(targets.parse_trait(str(text)) for text in texts)
    except ValueError as error:
        raise _bad_request(str(error)) from error


def encode_order(order: _records.DrainOrder) -> core.DocumentObject:
    """Return a drain order as a JSON object."""
    match order:
        case _records.DrainTarget(target):
            return {'target': target}
        case _records.DrainVM(vm):
            return {'vm': vm}
        case _:
            typing.assert_never(order)


def _bad_request(message: str) -> core.CodedError:
    return core.CodedError(core.ErrorCode.BAD_REQUEST, message)
