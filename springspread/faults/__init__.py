"""Fault injection for a fleet and its policy changes. The sender itself never imports this package.

``model_checker`` explores the interleavings of a policy change; ``protocol_mutants`` holds faulty
variants that it must reject.
"""
