"""Decides which daemons read the log, and what to pull from which peer."""
