"""A model of the outside world: partners, clients, directory and platform, and a checker of the sender.

Start with `partner.py`. Only `sockets.py`, `polling.py` and `fleet.py` use real time and sockets.
The sender imports nothing from here.
"""
