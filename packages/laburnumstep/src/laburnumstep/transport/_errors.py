"""Encoding of errors for callers and operators."""

from __future__ import annotations

from laburnumstep import core


def encode_error(error: core.CodedError) -> core.DocumentObject:
    """Return the JSON object of an error response."""
    return {
        'error': {
            'code': error.code.value,
            'message': error.message,
            'outcome': error.outcome.value,
            'resend': error.resend,
            'resend_at': error.resend_at,
        }
    }
