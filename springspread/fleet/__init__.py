"""Many instances as one: who is alive, and which part of each limit each may use.

``shares`` decides and knows no socket, file or clock: open it first. ``wallet`` is the instance's side of it.
The daemon and the medium stand round them. ``core.clearance`` asks a wallet; nothing else of the sender knows
that there is a fleet.
"""
