"""Operators' library of laburnumstep."""
