"""`python -m badgerbend.platform`: runs one broker that is configured by its environment."""

from __future__ import annotations

import signal

# The handler is installed before the other imports: on a tenth of a core they take seconds, and a SIGHUP during that
# time would end the process. The signal is remembered, since the configuration may be read before the file is replaced.
reloads: list[int] = []
signal.signal(signal.SIGHUP, lambda number, frame: reloads.append(number))

import asyncio  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from badgerbend.platform.config import ConfigError, load  # noqa: E402
from badgerbend.platform.service import serve  # noqa: E402


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"badgerbend: {err}", file=sys.stderr)
        return 2
    return asyncio.run(serve(config, os.environ, lambda: bool(reloads)))


if __name__ == "__main__":
    sys.exit(main())
