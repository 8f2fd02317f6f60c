"""Who may stay at the door: decisions about client connections, without sockets or a clock.

`admission.py` is the file to open first. Imported by `net/door.py`, which carries out what it decides, and by
nothing else; it imports only the program's limits.
"""
