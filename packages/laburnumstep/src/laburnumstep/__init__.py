"""Entry VM of laburnumstep: serves callers from crowded targets."""
