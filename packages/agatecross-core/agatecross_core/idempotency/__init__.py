"""At-most-once execution by claims on the log."""
