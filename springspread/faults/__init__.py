"""The fleet under faults: what tries to break the promises between processes. The sender never imports it.

``search`` looks at every interleaving of the machine of a change of policy, ``planted`` holds the faults that
it must find: open ``search`` first.
"""
