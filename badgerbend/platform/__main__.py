"""`python -m badgerbend.platform`: one broker, told by its environment what it is."""

from __future__ import annotations

import asyncio
import os
import sys

from badgerbend.platform.config import ConfigError, load
from badgerbend.platform.service import serve


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"badgerbend: {err}", file=sys.stderr)
        return 2
    return asyncio.run(serve(config, os.environ))


if __name__ == "__main__":
    sys.exit(main())
