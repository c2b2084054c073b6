"""Fault soak of daemons that are configured by the platform's keyed log.

The daemons are real processes; the faults are injected from outside of them.
"""
