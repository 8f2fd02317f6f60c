"""Experiments in the town: a plan in TOML, its runs, and their tables and charts.

Open `plan.py` first. Imports the town; the sender imports nothing of it.
"""
