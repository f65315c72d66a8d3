"""Entry VM of laburnumstep: routes callers' requests to targets."""
