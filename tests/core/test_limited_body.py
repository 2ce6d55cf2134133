"""Documents without end are cut at a limit, at once."""

import pytest

from tests.support.emulator.gateway import run
from tests.support.endless_target import EndlessTarget
from traystall.core import clock
from traystall.core.exceptions import TargetFailed
from traystall.gateway.adapters.http import TargetHttp


@pytest.mark.parametrize("way", ["body", "chunks", "header lines", "header value", "status line"])
def test_document_without_end_is_cut_at_once(way):
    """The whole body was read before it was parsed, up to the time limit."""

    async def scenario():
        target = await EndlessTarget(way).start()
        http = TargetHttp()
        await http.open()
        try:
            began = clock.monotonic()
            with pytest.raises(TargetFailed):
                await http.get_json(f"http://{target.address}/v1/state", 3.0)
            assert clock.monotonic() - began < 1.5
        finally:
            await http.close()
            await target.stop()

    run(scenario())
