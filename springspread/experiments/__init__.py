"""Experiments with the simulator: plans in TOML, their runs, tables and charts.

Start with `plan.py`. Imports the simulator; the sender does not import this package.
"""
