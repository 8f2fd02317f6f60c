"""The command line: `springspread serve`, `springspread town`, `springspread lab`.

Open `main.py` first. Each command imports what it needs when it is called, so that `--help` and `serve` stay
quick.
"""
