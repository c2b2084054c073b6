"""Admission control next to the upstream."""
