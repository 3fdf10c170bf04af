"""``godwitbank submit FILE`` or ``submit --class=C PAYLOAD``."""

import json
import sys
from pathlib import Path

import httpx
from absl import flags

from godwitbank._internal.cli.statuses import Status
from godwitbank._internal.commands.client import (
    call_entry,
    clear_progress,
    require_single_argument,
    show_progress,
)
from godwitbank._internal.exceptions import UsageError


class SubmitCommand:
    """Submit a job file, or a single request with ``--class``."""

    summary = "submit a job file or a single request"

    def run(self, values: flags.FlagValues, arguments: list[str]) -> Status:
        """Submit the work, and print the complete answer or the problem."""
        if not values.service:
            raise UsageError("--service is required", remedy="see --help")
        show_progress("submitted, waiting for the whole answer")
        work_class = values["class"].value
        answer = (
            self._submit_request(values, work_class, arguments)
            if work_class
            else self._submit_job(values, arguments)
        )
        clear_progress()
        if answer.is_success:
            print(answer.text)
            return Status.SUCCESS
        print(answer.text, file=sys.stderr)
        not_run = answer.json().get("ran") == "not_run"
        return Status.NOT_RUN if not_run else Status.MAY_HAVE_RUN

    def _submit_job(
        self, values: flags.FlagValues, arguments: list[str]
    ) -> httpx.Response:
        path = require_single_argument(arguments, "job file (or give --class)")
        try:
            body = sys.stdin.read() if path == "-" else Path(path).read_text()
        except OSError as error:
            raise UsageError(
                f"the job can't be read: {error.strerror}",
                context=path,
                remedy="give the path of a JSON file, or - for standard input",
            ) from None
        return call_entry(
            values, "POST", f"/v1/services/{values.service}/jobs", None, body
        )

    def _submit_request(
        self, values: flags.FlagValues, work_class: str, arguments: list[str]
    ) -> httpx.Response:
        text = require_single_argument(arguments, "JSON payload")
        try:
            payload = json.loads(text)
        except ValueError as error:
            raise UsageError(
                f"the payload is not JSON: {error}", remedy="quote it for the shell"
            ) from None
        body = {
            "class": work_class,
            "payload": payload,
            "request_id": values.request_id,
        }
        path = f"/v1/services/{values.service}/requests"
        return call_entry(values, "POST", path, None, json.dumps(body))
