"""One policy for all instances: a change takes hold everywhere or nowhere.

``terms`` holds the words, ``coordinator`` and ``participant`` the two machines; none of the three does I/O
or reads a clock: open ``coordinator`` first. ``document`` says what a policy is and what may change in one,
``record`` keeps policies and decisions on disk. ``fleet`` drives them; a sender that stands alone loads
nothing of this.
"""
