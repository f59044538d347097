"""Logs as JSON lines."""

import logging
import sys

import structlog

from endivespindle.schema.generated.settings import LogLevel

__all__ = ["configure_logs"]


def configure_logs(level: LogLevel) -> None:
    """Writes log events to standard error, one JSON object a line."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.value.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
