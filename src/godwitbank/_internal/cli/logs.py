"""Logging through absl, as text or as one JSON object per line."""

import json
import logging as standard_logging
from datetime import UTC, datetime

from absl import logging


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format one record."""
        at = datetime.fromtimestamp(record.created, UTC)
        line = {
            "time": at.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "module": record.module,
            "process": record.process,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure_logs(verbosity: str, log_format: str) -> None:
    """Set the level and the format of this process's logs.

    :param verbosity: ``debug``, ``info``, ``warning`` or ``error``.
    :param log_format: ``text`` or ``json``.
    """
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold(verbosity)
    for library in ("httpx", "httpcore"):
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)
    if log_format == "json":
        logging.get_absl_handler().setFormatter(JsonFormatter())
