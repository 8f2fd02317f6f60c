"""An instance with a sabotage; the relayed daemon starts it as ``python -m springspread.faults.sender``."""

from __future__ import annotations

import os

from springspread.__main__ import main
from springspread.faults.sabotage import SABOTAGE_VARIABLE, SABOTAGES

if __name__ == "__main__":
    SABOTAGES[os.environ[SABOTAGE_VARIABLE]].install()
    os._exit(main())  # as the program itself ends
