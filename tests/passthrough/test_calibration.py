"""Forecast corrections are learned from errors, bounded, and decay."""

import pytest

from traystall.passthrough.admission.calibration import ForecastCorrection


@pytest.mark.parametrize("found", [0.0, 0.2, 0.4])
def test_steady_errors_are_learned(found):
    correction = ForecastCorrection()
    for number in range(60):
        correction.learn(found, number * 0.05)
    assert correction.seconds == pytest.approx(found, abs=0.05)


def test_correction_covers_most_of_varying_errors():
    correction = ForecastCorrection()
    for number in range(400):
        correction.learn((number * 7 % 20) / 100, number * 0.05)
    assert 0.12 < correction.seconds < 0.25


def test_correction_is_bounded_and_decays():
    correction = ForecastCorrection()
    for number in range(1000):
        correction.learn(60.0, number * 0.01)
    assert correction.seconds == 1.0
    assert correction.at_time(10.0 + 12.0) < 0.1


def test_correction_leaves_part_of_the_slack():
    correction = ForecastCorrection()
    for number in range(100):
        correction.learn(0.9, number * 0.01)
    assert 0.0 < correction.for_slack(0.4, 1.0) < 0.3
    assert correction.for_slack(-1.0, 1.0) == 0.0
