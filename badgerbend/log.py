"""Structured logging with structlog: one JSON object per line, or coloured lines for a console."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from badgerbend.config.settings import Log


def configure(settings: Log) -> None:
    """Configures logging to standard error for this process."""
    level = getattr(logging, settings.level.upper())
    processors: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderer: Any = (
        structlog.dev.ConsoleRenderer() if settings.form == "console" else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[*processors, structlog.processors.format_exc_info, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(**values: Any) -> Any:
    """A logger that adds these values to every line."""
    return structlog.get_logger().bind(**values)
