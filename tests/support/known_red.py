"""The list of tests that are known to fail: one line each, `test | cause | issue`."""

import pathlib

import msgspec

FILE_NAME = "KNOWN-RED.txt"
# So many tests or files may be known to fail at once: more must be mended first.
MOST_LINES = 3


class KnownRed(msgspec.Struct, frozen=True):
    """Name a test or a file whose tests fail, and why."""

    test: str
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether this line is about a test: itself, all its cases or its whole file."""
        rest = node_id.removeprefix(self.test)
        return node_id.startswith(self.test) and (not rest or rest[0] in "[:")


def read_known_red(path: pathlib.Path) -> list[KnownRed]:
    """Return the lines of a list, none if there is no file; raise ValueError if it is faulty."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise ValueError(f"{path.name} has {len(lines)} lines; at most {MOST_LINES} may stand.")
    return [_read_line(path, line) for line in lines]


def _read_line(path, line):
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 3 or not all(fields):
        raise ValueError(f"{path.name}: 'test | cause | issue' is expected, not '{line}'.")
    known = KnownRed(*fields)
    if not (path.parent / known.test.partition("::")[0]).is_file():
        raise ValueError(f"{path.name}: '{known.test}' is in no file of tests.")
    return known
