"""Write one structured line an event through ``absl.logging``."""

from __future__ import annotations

import logging as standard_logging
import sys
from typing import TextIO

from absl import logging

from .protocol.json_codec import encode

__all__ = ["configure", "log_error", "log_event", "log_warning"]


class _JsonFormatter(standard_logging.Formatter):
    """Format a record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        fields = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields |= getattr(record, "fields", {})
        return encode(fields).decode()


def configure(*, stream: TextIO | None = None) -> None:
    """Send structured lines to a stream, standard error by default."""
    handler = standard_logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_JsonFormatter())
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = [handler]
    absl_logger.propagate = False
    logging.set_verbosity(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Log one event with its fields, such as request id, step and peer."""
    logging.get_absl_logger().info(event, extra={"fields": fields})


def log_warning(event: str, **fields: object) -> None:
    """Log one event that an operator may want to act on."""
    logging.get_absl_logger().warning(event, extra={"fields": fields})


def log_error(event: str, **fields: object) -> None:
    """Log one event after which the process cannot go on."""
    logging.get_absl_logger().error(event, extra={"fields": fields})
