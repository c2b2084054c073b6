"""Decides who reads the log and what to pull from which peer."""
