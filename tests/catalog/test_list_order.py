"""Labels of list items ascend, and stay the same while other items come and go."""

import random

import pytest

from traystall.catalog.list_order import assign_labels


def as_held(labels, names):
    return list(zip(labels, names, strict=True))


def labelled(names, held=()):
    labels = assign_labels(held, names)
    # "/" follows the label in a key; it sorts below all digits.
    keys = [f"{label}/{name}" for label, name in zip(labels, names, strict=True)]
    assert keys == sorted(keys)
    assert len(set(labels)) == len(labels)
    return as_held(labels, names)


@pytest.mark.parametrize("place", [0, 700, 1399])
def test_item_taken_out_renames_no_other(place):
    """An item taken out at the head of a list renamed all items behind it."""
    names = [f"r-{n}" for n in range(1400)]
    held = labelled(names)
    del names[place]
    assert set(held) - set(labelled(names, held)) == {held[place]}


@pytest.mark.parametrize("place", [0, 1, 700, 1399, 1400])
def test_item_put_in_renames_no_other(place):
    names = [f"r-{n}" for n in range(1400)]
    held = labelled(names)
    names.insert(place, "new")
    assert len(set(labelled(names, held)) - set(held)) == 1


def test_item_that_moves_renames_no_other():
    names = [f"r-{n}" for n in range(100)]
    held = labelled(names)
    names.insert(80, names.pop(10))
    assert len(set(labelled(names, held)) - set(held)) == 1


def test_items_of_one_name_are_told_apart():
    held = labelled(["a", "same", "b", "same", "", ""])
    assert labelled(["a", "same", "b", "same", "", ""], held) == held
    assert labelled(["same", "b", "same", ""], held) == [*held[1:4], held[5]]


def test_labels_by_position_of_an_earlier_build_are_kept():
    names = [f"r-{n}" for n in range(30)]
    held = as_held([f"{n:06d}" for n in range(30)], names)
    assert labelled(names, held) == held
    assert labelled([*names[3:12], "new", *names[12:], "last"], held)[:9] == held[3:12]
    labelled(["new", *names], held)
    labelled(names[::-1], held)


@pytest.mark.parametrize("place", [0, 1, -1])
def test_labels_stay_short_however_often_items_are_put_in_at_one_place(place):
    names = ["first", "second", "last"]
    held = labelled(names)
    for n in range(1000):
        names.insert(place, f"r-{n}")
        held = labelled(names, held)
        assert max(len(label) for label, _ in held) <= 32


def test_unreadable_labels_are_replaced():
    labelled(["a", "b", "c"], [("!", "a"), ("?", "c")])


@pytest.mark.parametrize("seed", range(50))
def test_any_list_after_any_other(seed):
    rng = random.Random(seed)
    held = []
    for _ in range(30):
        names = [f"r-{rng.randrange(40)}" for _ in range(rng.randrange(60))]
        if rng.random() < 0.5:
            names = [name for _, name in held if rng.random() < 0.9]
            for _ in range(rng.randrange(4)):
                names.insert(rng.randint(0, len(names)), f"r-{rng.randrange(40)}")
        held = labelled(names, held)
