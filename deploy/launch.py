"""Starts one of the programs from this checkout.

The package is run from here, not installed: an installed copy could be an older
one. Usage: ``python3 deploy/launch.py entry`` or ``agent``.
"""

import os
import signal
import sys
from pathlib import Path

# A signal that settings have changed would end a process that doesn't handle it yet,
# and the imports take some tenths of a second; the settings are read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# No call here is encrypted. The client library loads all certificate authorities when
# it is imported, which takes 0.06 s of a core, a tenth of a process's start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from godwitbank._internal.cli.entrypoints import run_on_platform  # noqa: E402

if __name__ == "__main__":
    run_on_platform()
