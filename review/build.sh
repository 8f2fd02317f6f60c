#!/bin/sh
# The stand-ins of the review are Python files that need no build; the sender is built as the deploy file says.
exit 0
