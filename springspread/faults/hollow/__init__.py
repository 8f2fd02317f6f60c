"""A fleet of hollow senders: the real control code without a data plane, in virtual time.

Measures the cost of control for each sender and allocator, and whether limits hold, at fleet sizes that do
not fit on one machine as processes. Only ``faults``, ``benchmarks`` and ``tests`` import it. ``fleet`` is the
entry point that combines the other modules.
"""
