"""Fault soak of daemons on the users' platform: real processes under externally injected faults."""
