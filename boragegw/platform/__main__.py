"""Run a gateway process with ``python -m boragegw.platform``."""

import sys

from boragegw import platform

if __name__ == "__main__":
    sys.exit(platform.main())
