"""Many instances as one: who is alive, and which part of each limit each may use.

``allocator`` decides and knows no socket, file or clock: open it first. ``lease_cache`` is the instance's
side of it. ``allocator_server``, ``client`` and ``supervisor`` drive them; ``daemon`` puts them together.
``core.clearance`` asks the client before each call; nothing else of the sender knows that there is a fleet.
"""
