"""``godwitbank check FILE``."""

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import read_document, require_single_argument


class CheckCommand:
    """Check a service document without calling an entry."""

    summary = "check a document offline"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Check the file, and print the document's service and classes."""
        del values
        path = require_single_argument(arguments, "document")
        _, document = read_document(path)
        classes = ", ".join(document.classes)
        print(f"{path}: right; service {document.name}, classes {classes}")
        return Status.SUCCESS
