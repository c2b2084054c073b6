"""Names of the headers that tell the outcome of a call."""

OUTCOME_HEADER = "Agatecross-Outcome"
REASON_HEADER = "Agatecross-Reason"
