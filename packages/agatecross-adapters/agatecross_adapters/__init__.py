"""Adapters for external systems and other daemons, each behind a `Protocol`."""
