"""At-most-once execution of calls with an idempotency key, by claims on the log."""
