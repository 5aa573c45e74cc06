"""Run a gateway process with ``python -m boragegw.platform``.

A killed process serves again only after its start, so the start is kept short: the
garbage collector does not run while modules are imported, and asyncio is kept from
importing TLS, which nothing here uses (50 ms of 200 ms together on the entry VMs).
"""

import gc
import sys

gc.disable()
for name in ("ssl", "_ssl"):
    sys.modules[name] = None

from boragegw import platform  # noqa: E402

if __name__ == "__main__":
    gc.freeze()
    gc.enable()
    sys.exit(platform.main())
