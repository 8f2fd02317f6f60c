"""Decides which client connections a listener keeps, without sockets or a clock.

Start with `admission.py`. Only `net/listener.py` imports it, and carries out its decisions; it imports only
the configured limits.
"""
