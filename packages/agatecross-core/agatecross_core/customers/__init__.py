"""Customers: their keys, whether a request is allowed, and the order among customers."""
