"""`python -m badgerbend.platform`: one broker, told by its environment what it is."""

from __future__ import annotations

import signal

# Before all else: on a tenth of a core the imports take seconds, and a SIGHUP in them would end the process. It is
# remembered, since the configuration may have been read before the file was replaced.
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
