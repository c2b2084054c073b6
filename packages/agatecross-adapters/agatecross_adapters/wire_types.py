"""Types of fields in messages from outside the process."""

from typing import Annotated

import msgspec

Text = Annotated[str, msgspec.Meta(min_length=1)]
# Integers in messages between daemons have 64 bits.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
