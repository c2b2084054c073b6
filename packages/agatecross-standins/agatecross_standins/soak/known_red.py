"""Seeds that are listed as failing for a fault that is not mended yet."""

import re

ENTRY = re.compile(r"^test: soak seeds? (?P<seeds>[\d, and]+)$", re.MULTILINE)


def known_red_seeds(listing: str) -> frozenset[int]:
    """Return the seeds that a listing names in lines `test: soak seed N`."""
    return frozenset(
        int(number)
        for entry in ENTRY.finditer(listing)
        for number in re.findall(r"\d+", entry["seeds"])
    )
