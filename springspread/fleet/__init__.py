"""A fleet of instances: membership, leases of limits, and the daemon that supervises them.

Open ``allocator`` first: it decides on leases, without sockets, files or a clock; ``lease_cache`` is the
instance's side of it. ``allocator_server``, ``client``, ``policy_participant`` and ``supervisor`` drive the
deciding modules, and ``daemon`` puts them together. ``core.clearance`` asks the client before each call;
nothing else of the sender knows that there is a fleet.
"""
