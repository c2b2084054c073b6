"""Benchmarks, mostly with real processes; each module with a `main` function is one command."""
