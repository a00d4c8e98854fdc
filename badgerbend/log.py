"""Structured logs by structlog: one JSON line, or a coloured line on a console."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from badgerbend.config.settings import Log


def configure(settings: Log) -> None:
    """Sets up logging to standard error for this process."""
    level = getattr(logging, settings.level.upper())
    shared: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    last: Any = structlog.dev.ConsoleRenderer() if settings.form == "console" else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[*shared, structlog.processors.format_exc_info, last],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(**values: Any) -> Any:
    """A logger with these values on every line."""
    return structlog.get_logger().bind(**values)
