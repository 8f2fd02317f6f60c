"""One policy for all instances: a change comes into force on all of them at one moment, or on none.

Open ``coordinator`` first. ``coordinator`` and ``participant`` are the two state machines, ``protocol`` the
messages between them; none of the three does I/O or reads a clock. ``document`` defines a policy and which
changes of it are allowed; ``policy_record`` keeps policies and decisions on disk. ``fleet`` drives them; a
sender outside a fleet imports nothing of this package.
"""
