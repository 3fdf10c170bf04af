"""``godwitbank apply FILE``."""

import uuid

from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import (
    call_entry,
    decode_success,
    read_document,
    require_single_argument,
)


class ApplyCommand:
    """Submit a service document to an entry, which puts it in force everywhere."""

    summary = "put a document in force through any entry"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Check the file, submit it, and print the revision that it got."""
        text, document = read_document(require_single_argument(arguments, "document"))
        operation = values.operation or uuid.uuid4().hex
        headers = {"Operation-Id": operation, "Operator": values.operator}
        if values.revision:
            headers["If-Match"] = values.revision
        path = f"/v1/services/{document.name}/document"
        accepted = decode_success(call_entry(values, "PUT", path, headers, text))
        print(f"service {document.name}: accepted as revision {accepted['revision']}")
        return Status.SUCCESS
