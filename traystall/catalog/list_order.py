"""Labels that order the items of a list and stay the same while other items come and go.

An item's label is a fraction in base 36, written without its point. If the position itself were
the label, an item removed from the head would change the keys of all items behind it. Everything
here is pure.
"""

import bisect
from collections import Counter
from collections.abc import Sequence

_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
_BASE = len(_DIGITS)
# Labels of items at either end of a list have this many digits and are counted up or down.
_END_DIGITS = 6
_FIRST_NUMBER = _BASE**_END_DIGITS // 2
# Longer labels are not worth their bytes; all items are then labelled anew.
_MAX_DIGITS = 32


class _LabelsExhausted(Exception):
    """Report that no label of acceptable length lies between two others."""


def assign_labels(held: Sequence[tuple[str, str]], names: Sequence[str]) -> list[str]:
    """Return one label for each of `names`, in ascending order.

    `held` lists the label and the name of each item of the previous list, in its order. Items that
    are in both lists in the same order keep their labels.
    """
    kept = _kept_labels(held, names)
    try:
        return _fill_gaps(kept)
    except (_LabelsExhausted, ValueError):
        return _numbers(_FIRST_NUMBER, len(names))


def _kept_labels(held, names) -> list[str | None]:
    """Return the label that each of `names` keeps, or None."""
    head = _common_length(held, names)
    tail = _common_length(held[head:][::-1], names[head:][::-1])
    end = len(held) - tail
    kept = [label for label, _ in held[:head]]
    kept += _kept_in_changed_part(held[head:end], names[head : len(names) - tail])
    return kept + [label for label, _ in held[end:]]


def _common_length(held, names):
    """Return how many names both lists have in common at their beginning."""
    length = 0
    for (_, held_name), name in zip(held, names, strict=False):
        if held_name != name:
            break
        length += 1
    return length


def _kept_in_changed_part(held, names) -> list[str | None]:
    positions = {item: n for n, item in enumerate(_numbered(name for _, name in held))}
    matched = [(n, positions[item]) for n, item in enumerate(_numbered(names)) if item in positions]
    kept: list[str | None] = [None] * len(names)
    for n, position in _longest_ascending(matched):
        kept[n] = held[position][0]
    return kept


def _numbered(names):
    """Yield each name with the number of times that it came before."""
    seen: Counter[str] = Counter()
    for name in names:
        yield name, seen[name]
        seen[name] += 1


def _longest_ascending(pairs):
    """Return the longest part of `pairs` in which the second elements ascend."""
    # By length: the lowest last element of an ascending part, and the pair that it belongs to.
    lowest: list[int] = []
    ends: list[int] = []
    previous: list[int] = []
    for at, (_, position) in enumerate(pairs):
        length = bisect.bisect_left(lowest, position)
        previous.append(ends[length - 1] if length else -1)
        lowest[length : length + 1] = [position]
        ends[length : length + 1] = [at]
    chosen = []
    at = ends[-1] if ends else -1
    while at >= 0:
        chosen.append(pairs[at])
        at = previous[at]
    return reversed(chosen)


def _fill_gaps(kept) -> list[str]:
    labels: list[str] = []
    missing = 0
    for label in kept:
        if label is None:
            missing += 1
            continue
        labels += _labels_between(labels[-1] if labels else None, label, missing)
        labels.append(label)
        missing = 0
    return labels + _labels_between(labels[-1] if labels else None, None, missing)


def _labels_between(low, high, count) -> list[str]:
    """Return `count` labels above `low` and below `high`; None stands for an end of the list."""
    if not count:
        return []
    if low is None:
        first = _FIRST_NUMBER if high is None else _end_number(high) - count
        return _numbers(first, count)
    if high is None:
        return _numbers(_end_number(low) + 1, count)
    for digits in range(max(len(low), len(high)), _MAX_DIGITS + 1):
        start, end = (int(label.ljust(digits, "0"), _BASE) for label in (low, high))
        if end - start > count:
            step = (end - start) // (count + 1)
            return [_encode(start + step * n, digits) for n in range(1, count + 1)]
    raise _LabelsExhausted


def _end_number(label):
    return int(label[:_END_DIGITS].ljust(_END_DIGITS, "0"), _BASE)


def _numbers(first, count) -> list[str]:
    if first < 0 or first + count > _BASE**_END_DIGITS:
        raise _LabelsExhausted
    return [_encode(first + n, _END_DIGITS) for n in range(count)]


def _encode(number, digits) -> str:
    encoded = []
    for _ in range(digits):
        number, digit = divmod(number, _BASE)
        encoded.append(_DIGITS[digit])
    return "".join(reversed(encoded))
