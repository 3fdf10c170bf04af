"""``godwitbank diff FILE``."""

import difflib

import httpx
from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import (
    call_entry,
    read_document,
    require_single_argument,
)


class DiffCommand:
    """Compare a service document with the one in force."""

    summary = "compare a document with the one in force"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Print a unified diff against the document in force, and its revision."""
        path = require_single_argument(arguments, "document")
        text, document = read_document(path)
        answer = call_entry(values, "GET", f"/v1/services/{document.name}/document")
        missing = answer.status_code == httpx.codes.NOT_FOUND
        current = "" if missing else answer.text
        revision = "0" if missing else answer.headers["ETag"].strip('"')
        lines = list(
            difflib.unified_diff(
                current.splitlines(keepends=True),
                text.splitlines(keepends=True),
                f"revision {revision}",
                path,
            )
        )
        print("".join(lines), end="")
        print(f"in force: revision {revision}")
        return Status.DIFFERENT if lines else Status.SUCCESS
