"""What the commands share: calls to an entry and reading of documents."""

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
    """Take the only argument of a command.

    :raises UsageError: when there are none or several.
    """
    if len(arguments) != 1:
        raise UsageError(f"give exactly one {what}", remedy="see --help")
    return arguments[0]


def read_document(path: str) -> tuple[str, ServiceDocument]:
    """Read and check a document file.

    :raises DocumentError: naming file, line, key and remedy.
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
            f"the document is wrong: {parsed.failure()}",
            context=path,
            remedy="mend the document; 'godwitbank check' tells when it is right",
        )
    return text, parsed.unwrap()


def call_entry(
    values: flags.FlagValues,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    content: bytes | str | None = None,
) -> httpx.Response:
    """Call an entry.

    :raises UnreachableError: when it gave no answer.
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
    """Decode an entry's answer.

    :raises ConflictError: when another operator was first.
    :raises RefusedError: for every other problem.
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
    """Show progress on a terminal; silent elsewhere."""
    if sys.stderr.isatty():
        print(f"\r\033[K{text}", end="", file=sys.stderr, flush=True)


def clear_progress() -> None:
    """Clear the progress line."""
    show_progress("")
