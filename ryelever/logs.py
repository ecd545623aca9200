"""Write one structured log line for each event through ``absl.logging``."""

from __future__ import annotations

import logging as standard_logging
import sys

from absl import logging

from .log_stream import StreamWriter
from .protocol.json_codec import encode

__all__ = [
    "JsonFormatter",
    "configure",
    "configure_stdout",
    "log_error",
    "log_event",
    "log_warning",
]


class JsonFormatter(standard_logging.Formatter):
    """Format a record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record's time, level, event and fields as a line of JSON."""
        fields = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields |= getattr(record, "fields", {})
        return encode(fields).decode()


def configure() -> None:
    """Send structured lines to standard error."""
    _send_to(standard_logging.StreamHandler(sys.stderr))


def configure_stdout() -> StreamWriter:
    """Send structured lines to standard output without blocking on its reader."""
    writer = StreamWriter(fd=sys.stdout.fileno())
    _send_to(writer)
    return writer


def _send_to(handler: standard_logging.Handler) -> None:
    handler.setFormatter(JsonFormatter())
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = [handler]
    absl_logger.propagate = False
    logging.set_verbosity(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log one event with its fields, such as request id, step and peer."""
    logging.get_absl_logger().info(event, extra={"fields": fields})


def log_warning(event: str, **fields: object) -> None:
    """Log one event that may require an operator's action."""
    logging.get_absl_logger().warning(event, extra={"fields": fields})


def log_error(event: str, **fields: object) -> None:
    """Log one event after which the process cannot go on."""
    logging.get_absl_logger().error(event, extra={"fields": fields})
