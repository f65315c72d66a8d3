"""Signed handles that let a caller resume a stream on any VM."""

from __future__ import annotations

import attrs
import itsdangerous

from laburnumstep import core

_SALT = 'laburnumstep.resume'


@attrs.frozen
class ResumeHandle:
    """Location and owner of a generation."""

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
    """Signs and verifies handles.

    Args:
        signing_key: Key of the deployment, the same on all VMs.
    """

    def __init__(self, signing_key: str) -> None:
        self._serializer = itsdangerous.URLSafeSerializer(
            signing_key, salt=_SALT
        )

    def sign(self, handle: ResumeHandle) -> str:
        """Return the signed text of a handle."""
        text = self._serializer.dumps(attrs.astuple(handle))
        return text if isinstance(text, str) else text.decode()

    def verify(self, text: str, workspace: str, now: float) -> ResumeHandle:
        """Return the handle if it is valid for a workspace.

        Args:
            text: The signed text.
            workspace: Name of the caller's workspace.
            now: The time, in epoch seconds.

        Raises:
            CodedError: `handle_invalid`; the message is the same for every
                reason.
        """
        try:
            handle = ResumeHandle(*self._serializer.loads(text))
        except (itsdangerous.BadData, TypeError) as error:
            raise _invalid_handle() from error
        if handle.workspace != workspace or now >= handle.expires_at:
            raise _invalid_handle()
        return handle


def _invalid_handle() -> core.CodedError:
    return core.CodedError(
        core.ErrorCode.HANDLE_INVALID,
        'the handle is forged, expired or of another workspace',
    )
