"""A fleet of hollow senders: the real control code without a data plane, in virtual time.

It tells what control costs each sender and each allocator at sizes that no machine here could run as
processes, and whether limits hold there. Nothing outside ``faults``, ``benchmarks`` and ``tests`` imports it.
Begin with ``fleet``, which puts the other modules together.
"""
