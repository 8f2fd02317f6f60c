"""What each role of a fleet costs by size: measurements, their rows, and the lines fitted through them.

``rows`` and ``fit`` are pure. ``measurement`` says what a measurement is and runs it in a process of its own.
``mechanism`` is the one place that touches the allocator, the lease cache and their wire coding. A module for
each role holds the role's measurements; ``benchmarks.capacity_slopes`` runs them.
"""
