"""A data centre is taken for cut off after a few silent peers, and found again."""

from traystall.passthrough.places import DataCentreWatch


def test_one_silent_peer_is_only_itself():
    watch = DataCentreWatch("here")
    for second in range(9):
        watch.on_silent("there", "a", float(second))
    assert not watch.is_out("there", 9.0)


def test_two_silent_peers_mean_the_data_centre():
    watch = DataCentreWatch("here")
    watch.on_silent("there", "a", 0.0)
    watch.on_silent("there", "b", 0.5)
    assert watch.is_out("there", 0.6)
    assert not watch.is_out("elsewhere", 0.6)
    assert not watch.is_out("there", 3.0)


def test_longer_each_time_until_something_is_heard():
    watch = DataCentreWatch("here")
    watch.on_silent("there", "a", 0.0)
    watch.on_silent("there", "b", 0.0)
    watch.on_silent("there", "a", 2.0)
    assert watch.is_out("there", 3.5)
    watch.on_heard("there")
    assert not watch.is_out("there", 3.5)
    watch.on_silent("there", "a", 4.0)
    assert not watch.is_out("there", 4.0)


def test_own_data_centre_is_never_out():
    watch = DataCentreWatch("here")
    for peer in "abcdef":
        watch.on_silent("here", peer, 0.0)
    assert not watch.is_out("here", 0.0)


def test_signs_far_apart_do_not_add_up():
    watch = DataCentreWatch("here")
    watch.on_silent("there", "a", 0.0)
    watch.on_silent("there", "b", 5.0)
    assert not watch.is_out("there", 5.0)
