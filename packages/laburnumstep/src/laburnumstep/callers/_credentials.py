"""Authentication of callers."""

from __future__ import annotations

from laburnumstep import core


def authenticate(
    header: str | None, deployment: core.Deployment, now: float
) -> core.Workspace:
    """Return the workspace whose credentials a request carries.

    Args:
        header: Value of the `Authorization` header.
        deployment: The configuration in force.
        now: The time, in epoch seconds.

    Raises:
        CodedError: `unauthorized`; the message does not reveal which part
            of the credentials is wrong.
    """
    scheme, _, credentials = (header or '').partition(' ')
    name, _, secret = credentials.strip().partition(':')
    workspace = deployment.workspaces.get(name)
    if (
        scheme.lower() != 'bearer'
        or workspace is None
        or not workspace.accepts(secret, now)
    ):
        raise core.CodedError(
            core.ErrorCode.UNAUTHORIZED,
            'the credentials are missing, wrong or expired',
        )
    return workspace
