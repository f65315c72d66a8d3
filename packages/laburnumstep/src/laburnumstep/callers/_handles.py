"""Signed handles with which any VM can resume a stream."""

from __future__ import annotations

import attrs
import itsdangerous

from laburnumstep import core

_SALT = 'laburnumstep.resume'


@attrs.frozen
class ResumeHandle:
    """Where a generation runs and whose it is."""

    workspace: str
    """Name of the workspace that may resume it."""
    key: str
    """Request key, in its text form."""
    generation: str
    """Identifier of the generation."""
    target: str
    """Name of the engine."""
    expires_at: float
    """Time after which the handle is refused, in epoch seconds."""


class HandleSigner:
    """Signs handles and checks them.

    Args:
        signing_key: The deployment's key, equal on all VMs.
    """

    def __init__(self, signing_key: str) -> None:
        self._serializer = itsdangerous.URLSafeSerializer(
            signing_key, salt=_SALT
        )

    def sign(self, handle: ResumeHandle) -> str:
        """Return the text that a caller keeps."""
        text = self._serializer.dumps(attrs.astuple(handle))
        return text if isinstance(text, str) else text.decode()

    def verify(self, text: str, workspace: str, now: float) -> ResumeHandle:
        """Return the handle when it is valid for a workspace.

        Raises:
            CodedError: `handle_invalid`, alike for each reason.
        """
        try:
            handle = ResumeHandle(*self._serializer.loads(text))
        except (itsdangerous.BadData, TypeError) as error:
            raise _invalid() from error
        if handle.workspace != workspace or now >= handle.expires_at:
            raise _invalid()
        return handle


def _invalid() -> core.CodedError:
    return core.CodedError(
        core.ErrorCode.HANDLE_INVALID,
        'the handle is forged, expired or of another workspace',
    )
