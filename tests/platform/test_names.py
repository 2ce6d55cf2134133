"""Parsing of the reports of stage runners."""

import pytest
from traystall_platform.names import RunnerStages


@pytest.mark.parametrize(("told", "at_most"), [("0", 1_000_000), ("33", 34_000_000)])
def test_free_megabytes_are_read_as_their_upper_bound(told, at_most):
    body = b'{"num-waiting":1,"busy-slots":1,"free-mb":%s}' % told.encode()
    assert RunnerStages().free_bytes(body) == at_most


def test_report_without_free_memory_is_an_error():
    with pytest.raises(ValueError):
        RunnerStages().free_bytes(b'{"stage":"mixed"}')
