"""SIGHUP makes a daemon reload its settings and does not stop it."""

import os
import signal
import subprocess
import sys
import textwrap

import pytest

_PROGRAM = textwrap.dedent(
    """
    import asyncio
    import aiomisc
    from traystall.core import daemon

    class Service(aiomisc.Service):
        async def start(self):
            pass

        {reload}

        async def until_stopped(self, stopping):
            # By now the signals' handlers are in place.
            print("started", flush=True)
            await stopping.wait()

    service = Service()
    raise SystemExit(daemon.run(service, service.until_stopped))
    """
)
_RELOAD = 'def reload(self):\n            print("read again", flush=True)'


@pytest.mark.parametrize("reload", [_RELOAD, "pass"])
def test_sighup_does_not_stop_a_daemon(reload):
    process = subprocess.Popen(
        [sys.executable, "-c", _PROGRAM.format(reload=reload)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline() == "started\n"
        os.kill(process.pid, signal.SIGHUP)
        if reload is _RELOAD:
            assert process.stdout.readline() == "read again\n"
        os.kill(process.pid, signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    finally:
        process.kill()
        process.stdout.close()
