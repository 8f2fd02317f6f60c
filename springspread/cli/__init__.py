"""The command line: `springspread serve`, `springspread town`, `springspread lab`.

Start with `main.py`. Each command imports what it needs when it runs, so that `--help` and `serve` start
quickly.
"""
