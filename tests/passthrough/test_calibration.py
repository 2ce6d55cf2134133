"""What forecasts leave out is learned by kind, bounded, and fades."""

import pytest

from traystall.passthrough.admission.calibration import ForecastCorrection


@pytest.mark.parametrize("found", [0.0, 0.2, 0.4])
def test_steady_errors_are_learned(found):
    error = ForecastCorrection()
    for number in range(60):
        error.learn(found, number * 0.05)
    assert error.seconds == pytest.approx(found, abs=0.05)


def test_most_of_a_spread_is_covered():
    error = ForecastCorrection()
    for number in range(400):
        error.learn((number * 7 % 20) / 100, number * 0.05)
    assert 0.12 < error.seconds < 0.25


def test_what_was_learned_is_bounded_and_fades():
    error = ForecastCorrection()
    for number in range(1000):
        error.learn(60.0, number * 0.01)
    assert error.seconds == 1.0
    assert error.at_time(10.0 + 12.0) < 0.1


def test_errors_alone_never_refuse():
    error = ForecastCorrection()
    for number in range(100):
        error.learn(0.9, number * 0.01)
    assert 0.0 < error.for_slack(0.4, 1.0) < 0.3
    assert error.for_slack(-1.0, 1.0) == 0.0
