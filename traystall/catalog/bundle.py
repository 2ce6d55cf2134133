"""Read an operator's bundle, a directory of YAML files that is applied as one unit."""

from pathlib import Path

import msgspec
import yaml

from traystall.catalog.checks import check_entities
from traystall.catalog.deltas import entities_digest
from traystall.conf.checks import Problem
from traystall.core.exceptions import BundleError
from traystall.core.serialization import pack
from traystall.tables.entities import ENTITY_TYPES, entity_key

SECTIONS = {
    "data_centres": "data_centre",
    "customers": "customer",
    "pipelines": "pipeline",
    "targets": "target",
    "models": "model",
    "order_policies": "order_policy",
    "routes": "route",
    "pools": "pool",
    "keyed_customers": "keyed_customer",
}
NUMBER_KEY = "number"


class Bundle(msgspec.Struct, frozen=True):
    """Hold a whole configuration: its number and its entities, both decoded and encoded."""

    number: int
    entities: dict[str, object]
    encoded: dict[str, bytes]
    digest: bytes


def load_bundle(path: str, number: int | None = None) -> Bundle:
    """Return the checked bundle in the directory `path`; raise BundleError with every problem.

    `number` overrides the number that the files declare.
    """
    problems: list[Problem] = []
    entities: dict[str, object] = {}
    numbers: list[int] = []
    for file in _files(path):
        _read_file(file, entities, numbers, problems)
    chosen = _choose_number(number, numbers, problems)
    problems += check_entities(entities)
    if problems:
        raise BundleError(problems)
    encoded = {key: pack(entity) for key, entity in entities.items()}
    return Bundle(chosen, entities, encoded, entities_digest(encoded))


def _files(path):
    folder = Path(path)
    files = sorted([*folder.glob("*.yaml"), *folder.glob("*.yml")]) if folder.is_dir() else []
    if not files:
        raise BundleError(
            [Problem("bundle.E001", f"'{path}' holds no YAML files.", "Name a bundle's directory.")]
        )
    return files


def _read_file(file, entities, numbers, problems):
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        document = yaml.load(file.read_text(), Loader=loader) or {}  # noqa: S506 - a safe loader.
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        problems.append(Problem("bundle.E002", f"{file.name} is not YAML: {error}.", "Correct it."))
        return
    if not isinstance(document, dict):
        message = f"{file.name} is not a mapping of sections."
        problems.append(Problem("bundle.E003", message, "Begin with a section name."))
        return
    for section, rows in document.items():
        if section == NUMBER_KEY:
            _read_number(file, rows, numbers, problems)
        elif section in SECTIONS:
            _read_section(file, section, rows or [], entities, problems)
        else:
            known = ", ".join([NUMBER_KEY, *SECTIONS])
            message = f"{file.name} has an unknown section '{section}'."
            problems.append(Problem("bundle.E004", message, f"Use one of: {known}."))


def _read_number(file, value, numbers, problems):
    if isinstance(value, int) and not isinstance(value, bool) and value > 0:
        numbers.append(value)
        return
    message = f"{file.name}: number must be a whole number above zero, not {value!r}."
    problems.append(Problem("bundle.E005", message, "Count bundles from 1."))


def _read_section(file, section, rows, entities, problems):
    kind = SECTIONS[section]
    if not isinstance(rows, list):
        message = f"{file.name}: {section} is not a list."
        problems.append(Problem("bundle.E006", message, "Begin each entry with '- name:'."))
        return
    for position, row in enumerate(rows, 1):
        name = row.get("name", f"#{position}") if isinstance(row, dict) else f"#{position}"
        try:
            entity = msgspec.convert(row, ENTITY_TYPES[kind])
        except msgspec.ValidationError as error:
            message = f"{file.name}: {kind} '{name}': {error}."
            problems.append(Problem("bundle.E007", message, "See the bundle reference."))
            continue
        key = entity_key(kind, entity.name)
        if key in entities:
            message = f"{file.name}: {kind} '{name}' is declared twice."
            problems.append(Problem("bundle.E008", message, "Remove one of them."))
        entities[key] = entity


def _choose_number(number, numbers, problems):
    if number is not None:
        return number
    if len(numbers) == 1:
        return numbers[0]
    message = f"The bundle declares {len(numbers)} numbers."
    problems.append(Problem("bundle.E009", message, "Declare exactly one, or pass --number."))
    return 0
