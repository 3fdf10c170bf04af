"""Types of the fields of wire structs.

Other writers may send numbers of any size. A value that is accepted is stored, logged
and sent on, so each field is bounded by what every encoder here can hold, also after
sums over many tasks. A value out of bounds makes the whole body invalid.
"""

from typing import Annotated

from msgspec import Meta

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number; all JSON readers keep it exact."""

MAX_AMOUNT = 2**31 - 1
"""Largest amount of a resource: millions of cores, thousands of terabytes."""

MAX_MILLISECONDS = 1e9
"""Longest time; no task or drain takes eleven days."""

MAX_SECONDS = MAX_MILLISECONDS / 1000

MAX_FACTOR = 1e6
"""Largest factor on a run time."""

MAX_TEXT_CHARACTERS = 1024
"""Longest name, label or address."""

MAX_LABELS = 64

MAX_CHECKPOINT_CHARACTERS = 4 * 1024 * 1024
"""Longest checkpoint; the longest frame is twice as long."""

WholeNumber = Annotated[int, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
Count = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
SignedAmount = Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Milliseconds = Annotated[float, Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]
Seconds = Annotated[float, Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Factor = Annotated[float, Meta(ge=-MAX_FACTOR, le=MAX_FACTOR)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]
Checkpoint = Annotated[str, Meta(max_length=MAX_CHECKPOINT_CHARACTERS)]
Labels = Annotated[list[Text], Meta(max_length=MAX_LABELS)]
InstanceId = Annotated[str, Meta(pattern=r"\A[!-~]{1,256}\Z")]
"""Id of an endpoint's boot. It is sent in a header: printable ASCII without spaces."""
