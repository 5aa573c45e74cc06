"""Run a gateway process with ``python -m boragegw.platform``.

A killed process serves again only after its start, so the start is kept short: the
garbage collector does not run while modules are imported, and neither TLS nor the
hashes of its library are loaded, which nothing here uses (50 ms of 280 ms and 1.2 MB
together on the entry VMs).
"""

import gc
import sys

gc.disable()
for name in ("ssl", "_ssl", "_hashlib"):
    sys.modules[name] = None

from boragegw import platform  # noqa: E402

if __name__ == "__main__":
    gc.freeze()
    gc.enable()
    sys.exit(platform.main())
