"""Costs of each role of a fleet by size: measurements, their rows, and the lines fitted through them.

``rows`` and ``fit`` are pure. ``measurement`` defines measurements and runs each in a separate process.
``mechanism`` is the only module that uses the allocator, the lease cache and their wire encoding. Each role
has a module with its measurements; ``benchmarks.capacity_slopes`` runs them.
"""
