"""Carries whole requests between daemons: the retry flow, the ledger of handovers, the budget."""
