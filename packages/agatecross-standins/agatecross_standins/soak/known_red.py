"""Seeds that are listed as known failures of faults that are not fixed yet."""

import re

ENTRY = re.compile(r"^test: soak seeds? (?P<seeds>[\d, and]+)$", re.MULTILINE)


def known_red_seeds(listing: str) -> frozenset[int]:
    """Return the seeds in the lines `test: soak seed N` or `test: soak seeds N and M`."""
    return frozenset(
        int(number)
        for entry in ENTRY.finditer(listing)
        for number in re.findall(r"\d+", entry["seeds"])
    )
