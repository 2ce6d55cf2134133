"""A peer that fails for a long time is avoided for the longest period, without an error.

The failure: after 1,025 failures in a row the exponent overflowed, and callers got 500 at every
later attempt.
"""

import random

from traystall.passthrough.exchange.pool import ConnectionPool
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.registry.models import TargetReport
from traystall.systems import breakers
from traystall.tables.targets import Breaker

FAILURES = 3000


def test_target_that_refuses_thousands_of_connections_is_avoided_without_an_error():
    report = TargetReport("t", "plain", "127.0.0.1:1", "here")
    view = TargetView(report, ConnectionPool(report.address, lambda: 1, None))
    for number in range(FAILURES):
        view.on_unreachable(10.0 * number, random.Random(number))
    assert 10.0 * (FAILURES - 1) + 3.0 <= view.avoid_until <= 10.0 * (FAILURES - 1) + 5.0


def test_data_centre_that_is_gone_for_thousands_of_outages_is_left_out_without_an_error():
    monitor = DataCentreMonitor("here")
    for number in range(FAILURES):
        monitor.on_no_response("there", "a", 10.0 * number)
        monitor.on_no_response("there", "b", 10.0 * number)
    assert monitor.is_unreachable("there", 10.0 * (FAILURES - 1) + 3.9)


def test_breaker_that_opens_thousands_of_times_stays_open_without_an_error():
    breaker = Breaker()
    for number in range(FAILURES):
        breakers.on_failure(breaker, 100.0 * number, random.Random(number))
    assert breaker.open_until > 100.0 * (FAILURES - 1)


def test_failures_of_requests_sent_together_count_once_for_the_period():
    report = TargetReport("t", "plain", "127.0.0.1:1", "here")
    view = TargetView(report, ConnectionPool(report.address, lambda: 1, None))
    for _ in range(30):
        view.on_unreachable(0.0, random.Random(1))
    assert view.avoid_until <= 0.4 * 1.25
