"""Fault runs: a fleet under a seeded schedule of faults, whose history is checked."""
