"""The comparison reads reports, pairs runs, and separates differences from noise."""

from pathlib import Path

import msgspec
import pytest

from benchmarks.compare import plots
from benchmarks.compare.differences import difference, losses_by_cause, pair_up
from benchmarks.compare.plays import Bench, Play, Played, play_all
from benchmarks.compare.reports import read_report

BODY = {
    "G": 0.41,
    "served": 0.84,
    "refused": 0.09,
    "failed": 0.04,
    "parts": [["whole day", 0.32, 0.75], ["nines", 0.28, 1.0]],
    "prices": [["GB between zones", 0.03, 0.02], ["probes", 132.0, -0.0]],
    "classes": [],
    "zones": [],
    "windows": [
        {"name": "0", "n": 9, "in_aim": 8, "late": 1, "refused": 0, "failed": 0, "worth": 0.9}
    ],
    "unserved_by": [["503", 2, ["1.0 s  sent", "1.2 s  the client gets 503"]]],
    "something new": {"that nobody reads": 1},
}


def report(tmp_path, **changes):
    path = tmp_path / "report.json"
    path.write_bytes(msgspec.json.encode(BODY | changes))
    return read_report(path)


def played(tmp_path, side, seed, day="d", **changes):
    return Played(Play(side, tmp_path, day, seed), report(tmp_path, **changes))


def test_a_report_lists_losses_by_cause(tmp_path):
    losses = report(tmp_path).losses()
    assert losses == {"whole day": pytest.approx(0.08), "GB between zones": 0.02}


def test_a_missing_or_malformed_report_is_an_error(tmp_path):
    with pytest.raises(OSError):
        read_report(tmp_path / "none.json")
    (tmp_path / "bad.json").write_text("{}")
    with pytest.raises(msgspec.DecodeError):
        read_report(tmp_path / "bad.json")


@pytest.mark.parametrize(
    ("old", "new", "verdict"),
    [
        ([0.40, 0.50, 0.45], [0.50, 0.61, 0.55], "better"),
        ([0.50, 0.61, 0.55], [0.40, 0.50, 0.45], "worse"),
        ([0.40, 0.50, 0.45], [0.50, 0.41, 0.46], "inconclusive"),
        ([0.40], [0.90], "inconclusive"),
    ],
)
def test_differences_are_separated_from_noise(old, new, verdict):
    assert difference(old, new).verdict() == verdict


def test_interval_is_that_of_students_t():
    found = difference([0.0, 0.0, 0.0], [1.0, 2.0, 3.0])
    # Mean 2, standard deviation 1, t of 2 degrees of freedom 4.303: 2 -+ 4.303 / sqrt(3).
    assert (found.low, found.high) == (pytest.approx(-0.484, abs=1e-3), pytest.approx(4.484, 1e-3))


def test_values_that_do_not_pair_up_are_an_error():
    with pytest.raises(ValueError, match="1 old values and 2 new values do not pair up"):
        difference([1.0], [1.0, 2.0])


def test_only_runs_that_both_sides_have_finished_are_paired(tmp_path):
    plays = [
        played(tmp_path, "old", 1),
        played(tmp_path, "new", 1, G=0.5),
        played(tmp_path, "old", 2),
        Played(Play("new", tmp_path, "d", 2), error="given up"),
    ]
    pairs = pair_up(plays)
    assert [(old.report.worth, new.report.worth) for old, new in pairs] == [(0.41, 0.5)]


def test_causes_are_sorted_by_size_even_if_one_side_has_none(tmp_path):
    pairs = [
        (
            played(tmp_path, "old", seed),
            played(tmp_path, "new", seed, prices=[["worth refused again", 1.0, 0.2]]),
        )
        for seed in (1, 2)
    ]
    causes = losses_by_cause(pairs)
    assert list(causes) == ["worth refused again", "whole day", "GB between zones"]
    assert causes["GB between zones"].new == 0.0


def bench_that(tmp_path, script):
    program = tmp_path / "bench"
    program.write_text(f"#!/bin/sh\n{script}\n")
    program.chmod(0o755)
    return Bench(program, Path("site.toml"), tmp_path, "a test")


def test_a_failed_run_is_reported_and_the_others_continue(tmp_path):
    source = tmp_path / "source.json"
    source.write_bytes(msgspec.json.encode(BODY))
    # The arguments: run SITE DAY --seed N --report FILE --why TEXT.
    script = f'[ "$5" = 2 ] && echo "too busy" >&2 && exit 1; cp {source} "$7"'
    plays = [Play(side, tmp_path, "d", seed) for seed in (1, 2) for side in ("old", "new")]
    lines = []
    found = play_all(bench_that(tmp_path, script), plays, 2, lines.append)
    assert len(pair_up(found)) == 1
    assert sum("too busy" in line for line in lines) == 2
    assert lines[-1].startswith("4 of 4")


def test_plots_are_drawn_for_each_pair_and_for_the_causes(tmp_path):
    pairs = [(played(tmp_path, "old", 1), played(tmp_path, "new", 1, G=0.5))]
    paths = plots.draw(pairs, tmp_path)
    assert [path.name for path in paths] == ["windows-d-1.png", "causes.png"]
    assert all(path.stat().st_size > 1000 for path in paths)
