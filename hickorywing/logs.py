"""Configure structured logs: JSON lines on standard error."""

import logging
import sys

import structlog

__all__ = ["configure_logs", "get_logger"]


def configure_logs() -> None:
    """Configure structlog to write JSON lines to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def get_logger() -> structlog.typing.FilteringBoundLogger:
    """Return the process's logger."""
    return structlog.get_logger()
