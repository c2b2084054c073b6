"""Fault runs: run a fleet under a seeded schedule of faults and check its history."""
