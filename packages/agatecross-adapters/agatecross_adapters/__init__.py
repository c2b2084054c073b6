"""Adapters to outside systems and to other daemons, each behind a `Protocol`."""
