"""Parts that the commands share: calls to an entry, reading of documents, progress."""

import sys
from pathlib import Path
from typing import Any

import httpx
from absl import flags
from returns.result import Success

from godwitbank._internal.exceptions import (
    ConflictError,
    DocumentError,
    RefusedError,
    UnreachableError,
    UsageError,
)
from godwitbank._internal.models.document import ServiceDocument


def require_single_argument(arguments: list[str], what: str) -> str:
    """Return the single argument of a command.

    :param what: name of the argument for the error message.
    :raises UsageError: if there are none or several.
    """
    if len(arguments) != 1:
        raise UsageError(f"give exactly one {what}", remedy="see --help")
    return arguments[0]


def read_document(path: str) -> tuple[str, ServiceDocument]:
    """Read and check the file of a service document.

    :return: text of the file, and the document.
    :raises DocumentError: if the file can't be read or the document is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise DocumentError(
            f"the document can't be read: {error.strerror}",
            context=path,
            remedy="give the path of a readable TOML file",
        ) from None
    parsed = ServiceDocument.from_text(text)
    if not isinstance(parsed, Success):
        raise DocumentError(
            f"the document is invalid: {parsed.failure()}",
            context=path,
            remedy="fix the document; 'godwitbank check' tells when it is valid",
        )
    return text, parsed.unwrap()


def call_entry(
    values: flags.FlagValues,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    content: bytes | str | None = None,
) -> httpx.Response:
    """Send a request to the entry named by the flag ``--entry``.

    :raises UnreachableError: if no answer came within the timeout.
    """
    url = f"http://{values.entry}{path}"
    try:
        return httpx.request(
            method, url, headers=headers, content=content, timeout=values.timeout
        )
    except httpx.HTTPError as error:
        raise UnreachableError(
            "the entry gave no answer",
            context=f"{url}: {type(error).__name__}",
            remedy="give --entry the host:port of a running entry",
        ) from None


def decode_success(answer: httpx.Response) -> Any:
    """Decode an entry's answer, or raise the problem that it reports.

    :raises ConflictError: if another operator changed the document first.
    :raises RefusedError: for any other problem.
    """
    if answer.is_success:
        return answer.json()
    problem = answer.json()
    if answer.status_code == httpx.codes.CONFLICT:
        raise ConflictError(problem["detail"])
    raise RefusedError(
        f"{problem['title']}: {problem['detail']}",
        context=f"status {answer.status_code}, ran: {problem['ran']}",
        remedy=problem["remedy"],
    )


def show_progress(text: str) -> None:
    """Show a progress line if standard error is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\033[K{text}", end="", file=sys.stderr, flush=True)


def clear_progress() -> None:
    """Clear the progress line."""
    show_progress("")
