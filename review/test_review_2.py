"""Runs the script of each case of the second review: it passes where the rule of the case holds.

Not part of the default test run; a case takes up to a minute.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

CASES = (6, 7, 8, 9, 10)


@pytest.mark.parametrize("number", CASES)
def test_case_holds(number: int) -> None:
    """The script exits with 0."""
    script = Path(__file__).resolve().parent / str(number) / "run.sh"
    assert subprocess.run(["/bin/sh", str(script)], timeout=120.0).returncode == 0
