"""Shorten daemon startup: import this module and call `prepare_imports` before anything else.

After a power failure all daemons start at the same moment, and no request is served
until they are up. The time that the interpreter spends on imports therefore counts as
much as the daemon's own startup.
"""

import gc
import os

from traystall.core import clock

# Monotonic time of this import; the process has been running at least since then.
STARTED_AT = clock.monotonic()
# Environment variable that disables the plugin discovery of aiomisc.
_NO_PLUGINS = "AIOMISC_NO_PLUGINS"


def prepare_imports() -> None:
    """Disable garbage collection and plugin discovery for the imports of a daemon.

    The collector would run many times during imports without finding garbage, and the
    plugin discovery reads the metadata of all installed packages.
    """
    gc.disable()
    os.environ.setdefault(_NO_PLUGINS, "1")


def finish_imports() -> None:
    """Enable garbage collection again, excluding the imported objects, which never become free."""
    gc.freeze()
    gc.enable()
