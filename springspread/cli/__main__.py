"""`python -m springspread.cli`."""

from springspread.cli.main import cli

cli(prog_name="springspread")
