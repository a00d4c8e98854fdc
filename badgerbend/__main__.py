"""Entry point of `python -m badgerbend`: runs the command line."""

from badgerbend.cli import main

main()
