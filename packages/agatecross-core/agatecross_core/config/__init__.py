"""Pipeline from configuration documents to one compiled snapshot, and the fold over the log."""
