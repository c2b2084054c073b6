"""Soak of daemons on the users' platform: real processes under faults from outside them."""
