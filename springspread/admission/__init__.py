"""Who may stay at the listener: decisions about client connections, without sockets or a clock.

`admission.py` is the file to open first. Imported by `net/listener.py`, which carries out what it decides,
and by nothing else; it imports only the program's limits.
"""
