"""A model of the outside world: partners, clients, directory, platform, and a checker of every promise.

Open `partner.py` first. Nothing here reads a clock or a socket. The sender imports
nothing of it.
"""
