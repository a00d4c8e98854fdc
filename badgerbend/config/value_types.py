"""Types of the values in settings, with their bounds."""

from __future__ import annotations

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
FractionOrZero = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
CountOrZero = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


def check_host_port(text: str, what: str) -> None:
    """Raises ValueError for a text that is not HOST:PORT; `what` names the value in the error message."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{what} {text} is not HOST:PORT")
