"""Start a daemon fast: import this module, and call `begin`, before anything else.

After a loss of power every daemon starts at the same moment and nothing is
served until they have: what the interpreter does before the first line of a
daemon counts as much as what the daemon does then.
"""

import gc
import os

from traystall.core import clock

# Since when, in monotonic seconds, this process has been running at the least.
STARTED_AT = clock.monotonic()
# The variable that keeps aiomisc from searching what is installed for plugins.
_NO_PLUGINS = "AIOMISC_NO_PLUGINS"


def begin() -> None:
    """Prepare for the imports of a daemon.

    The collector would run many times while nothing can be collected, and the
    search for plugins reads the descriptions of all packages.
    """
    gc.disable()
    os.environ.setdefault(_NO_PLUGINS, "1")


def finish() -> None:
    """Take up collecting again; what was imported stays for good and is left out of it."""
    gc.freeze()
    gc.enable()
