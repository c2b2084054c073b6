"""Limits of customers over the whole fleet: what each daemon admits, and what the home allows."""
