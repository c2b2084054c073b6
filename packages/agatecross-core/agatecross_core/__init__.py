"""Decisions and types of agatecross; no module here performs I/O or reads a clock."""
