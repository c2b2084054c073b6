"""Benchmarks over real processes; each module is one command."""
