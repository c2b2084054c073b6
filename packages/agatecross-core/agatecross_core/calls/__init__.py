"""One call from its arrival to its outcome."""
