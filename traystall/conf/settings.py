"""Declared settings, read from flags and environment variables by ConfigArgParse.

Every value is validated by msgspec and then by the checks in
`traystall.conf.checks`; all problems are reported at once.
"""

import os
import sys
from typing import Any

import configargparse
import msgspec

from traystall.conf.checks import Problem
from traystall.core.exceptions import SettingsError

ENVIRONMENT_PREFIX = "TRAYSTALL_"


class Setting(msgspec.Struct, frozen=True):
    """Declare one setting: its name, type, default (None: required) and meaning."""

    name: str
    kind: Any
    help: str
    default: str | None = None
    secret: bool = False

    @property
    def flag(self) -> str:
        """Return the command-line flag, such as `--data-folder`."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable, such as `TRAYSTALL_DATA_FOLDER`."""
        return ENVIRONMENT_PREFIX + self.name.upper()


class Settings:
    """Hold validated values as attributes, with the source of each value."""

    def __init__(self, declared, values: dict, sources: dict):
        self._declared = declared
        self._values = values
        self._sources = sources

    def __getattr__(self, name):
        try:
            return self.__dict__["_values"][name]
        except KeyError:
            raise AttributeError(name) from None

    def describe(self) -> str:
        """Return one line for each setting: name, value (secrets masked) and source."""
        lines = []
        for setting in self._declared:
            value = "***" if setting.secret and self._values[setting.name] else None
            shown = value or repr(self._values[setting.name])
            lines.append(f"{setting.name} = {shown}  ({self._sources[setting.name]})")
        return "\n".join(lines)


def load(program: str, declared, checks=(), argv=None, environ=None) -> Settings:
    """Return the settings of `program`; raise SettingsError that lists every problem."""
    argv = sys.argv[1:] if argv is None else argv
    environ = os.environ if environ is None else environ
    parser = _build_parser(program, declared)
    namespace, unknown = parser.parse_known_args(argv, env_vars=dict(environ))
    problems = [
        Problem("settings.E001", f"'{word}' is not a setting.", "Run with --help for the list.")
        for word in unknown
    ]
    problems += _unknown_variables(declared, environ)
    sources = _sources(parser, declared)
    values = {}
    for setting in declared:
        _read_value(setting, getattr(namespace, setting.name), values, problems)
    settings = Settings(declared, values, sources)
    if not problems:
        for check in checks:
            problems += check(settings)
    if problems:
        raise SettingsError(problems)
    if namespace.print_settings:
        print(settings.describe())
        raise SystemExit(0)
    return settings


def load_or_exit(program: str, declared, checks=()) -> Settings:
    """Return the settings of `program`; if any is invalid, print all problems and exit with 2."""
    try:
        return load(program, declared, checks)
    except SettingsError as error:
        print(f"{program}: the settings cannot be used:", file=sys.stderr)
        for problem in error.problems:
            print(f"  {problem}", file=sys.stderr)
        raise SystemExit(2) from error


def _build_parser(program, declared):
    parser = configargparse.ArgParser(prog=program, allow_abbrev=False)
    for setting in declared:
        parser.add_argument(
            setting.flag,
            env_var=setting.variable,
            dest=setting.name,
            default=setting.default,
            help=setting.help,
        )
    parser.add_argument("--print-settings", action="store_true", help="Show settings and exit.")
    return parser


def _unknown_variables(declared, environ):
    known = {setting.variable for setting in declared}
    return [
        Problem("settings.E002", f"{name} is not a setting of this program.", "Unset it.")
        for name in sorted(environ)
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    ]


def _sources(parser, declared):
    sources = {setting.name: "default" for setting in declared}
    labels = {"command_line": "flag", "environment_variables": "environment"}
    for source, found in parser.get_source_to_settings_dict().items():
        for key, (action, _) in found.items():
            name = action.dest if action is not None else None
            if source == "command_line" and key == "":
                _mark_flags(parser, sources, found)
            elif name in sources and source in labels:
                sources[name] = labels[source]
    return sources


def _mark_flags(parser, sources, found):
    words = [word.split("=")[0] for word in found[""][1]]
    for action in parser._actions:
        if action.dest in sources and any(flag in words for flag in action.option_strings):
            sources[action.dest] = "flag"


def _read_value(setting, text, values, problems):
    if text is None:
        problems.append(
            Problem(
                "settings.E003",
                f"{setting.name} is required.",
                f"Pass {setting.flag} or set {setting.variable}.",
            )
        )
        return
    try:
        values[setting.name] = _convert(text, setting.kind)
    except (msgspec.ValidationError, ValueError) as error:
        problems.append(
            Problem(
                "settings.E004",
                f"{setting.name} has an unusable value: {error}",
                f"Correct {setting.flag} or {setting.variable}: {setting.help}",
            )
        )


def _convert(text, kind):
    if kind is list:
        return [word.strip() for word in text.split(",") if word.strip()]
    if kind is dict:
        pairs = [word.strip().partition("=") for word in text.split(",") if word.strip()]
        if any(not separator for _, separator, _ in pairs):
            raise ValueError("expected NAME=VALUE pairs separated by commas")
        return {name.strip(): value.strip() for name, _, value in pairs}
    return msgspec.convert(text, kind, strict=False)
