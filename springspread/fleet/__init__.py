"""A fleet of instances: membership, leases of limits, and the daemon that supervises them.

Open ``allocator`` first: it decides on leases, without sockets, files or a clock; ``lease_cache`` is the
instance's side of it. ``allocator_server``, ``client``, ``policy_participant`` and ``supervisor`` drive the
modules that decide, and ``daemon`` composes them. ``core.clearance`` asks the client before each call; the
rest of the sender does not depend on the fleet.
"""
