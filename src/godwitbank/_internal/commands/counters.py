"""``godwitbank counters``."""

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import call_entry


class CountersCommand:
    """Show an entry's counters and percentiles."""

    summary = "show an entry's counters and percentiles"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Print the counters, without the comments of the text format."""
        del arguments
        text = call_entry(values, "GET", "/metrics").text
        for line in text.splitlines():
            if line and not line.startswith("#") and "_created{" not in line:
                print(line)
        return Status.SUCCESS
