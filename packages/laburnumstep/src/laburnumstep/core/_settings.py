"""Settings of an entry VM, read from an INI file."""

from __future__ import annotations

import configparser
import difflib
import ipaddress
import pathlib
import re
import typing

import attrs

from laburnumstep.core import _findings
from laburnumstep.core import _keys

_SECTION_LINE = re.compile(r'^\s*\[([^\]]+)\]')
_KEY_LINE = re.compile(r'^([^\s=:#;][^=:]*?)\s*[=:]')
_MIN_KEY_LENGTH = 16
"""Shortest accepted key or signing key, in characters."""

ValueReader = typing.Callable[[str], typing.Any]
"""Parses the text of a value, or raises ValueError."""


def read_name(text: str) -> str:
    """Return a name of letters, digits, dots, dashes and underscores."""
    if not re.fullmatch(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}', text):
        raise ValueError('must be a name of letters, digits, ".", "-", "_"')
    return text


def read_address(text: str) -> str:
    """Return an address of the form `<IP number>:<port>`."""
    host, colon, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise ValueError('must be <IP number>:<port>') from error
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError('must be <IP number>:<port>')
    return text


def read_optional_address(text: str) -> str | None:
    """Return an address, or None for an empty text."""
    return read_address(text) if text else None


def read_addresses(text: str) -> list[str]:
    """Return addresses separated by commas."""
    return [read_address(part.strip()) for part in text.split(',') if part]


def read_secret(text: str) -> str:
    """Return a key of at least 16 characters."""
    if len(text) < _MIN_KEY_LENGTH:
        raise ValueError(f'must have at least {_MIN_KEY_LENGTH} characters')
    return text


def read_path(text: str) -> str | None:
    """Return the path of a file that exists, or None for an empty text."""
    if not text:
        return None
    if not pathlib.Path(text).is_file():
        raise ValueError('must be a file that exists')
    return text


def read_level(text: str) -> str:
    """Return a level of logging."""
    return _read_choice(text, ('debug', 'info', 'warning', 'error'))


def read_format(text: str) -> str:
    """Return a format of logs."""
    return _read_choice(text, ('text', 'json'))


def read_seconds(text: str) -> float:
    """Return a number of seconds from 0 to 86,400."""
    try:
        value = float(text)
    except ValueError as error:
        raise ValueError('must be a number of seconds') from error
    if not 0 <= value <= 86400:
        raise ValueError('must be from 0 to 86400 seconds')
    return value


def read_rate(text: str) -> float:
    """Return a number above 0 and up to 1,000 a second."""
    try:
        value = float(text)
    except ValueError as error:
        raise ValueError('must be a number a second') from error
    if not 0 < value <= 1000:
        raise ValueError('must be above 0 and at most 1000 a second')
    return value


def read_retention(text: str) -> float:
    """Return the log's retention, in seconds.

    A claim must be retained for longer than its key is valid; otherwise the
    key could be claimed again after the log has dropped the claim.
    """
    try:
        value = float(text)
    except ValueError as error:
        raise ValueError('must be a number of seconds') from error
    shortest = 2 * (_keys.KEY_VALID_SECONDS + _keys.KEY_SKEW_SECONDS)
    if not value >= shortest:
        raise ValueError(f'must be at least {shortest:g} seconds')
    return value


def _read_choice(text: str, choices: tuple[str, ...]) -> str:
    if text not in choices:
        raise ValueError(f'must be one of {", ".join(choices)}')
    return text


def option(
    help_text: str, reader: ValueReader, default: str | None = None
) -> typing.Any:
    """Return the attrs field of one key of a section.

    Args:
        help_text: Meaning and unit, printed in the documentation.
        reader: Parses the text of the value. The first line of its docstring
            is printed in the documentation.
        default: Text of the value if the key is missing; None if required.
    """
    metadata = {'help': help_text, 'reader': reader, 'default': default}
    return attrs.field(metadata=metadata)


@attrs.frozen
class VMSettings:
    """Section `[vm]`."""

    name: str = option('Name of this VM, unique in the deployment.', read_name)
    data_centre: str = option('Data centre of this VM.', read_name)
    region: str = option('Region of this VM.', read_name)
    deployment: str = option('Name of the deployment.', read_name)
    stop_seconds: float = option(
        'Longest graceful shutdown, in seconds.', read_seconds, '3600'
    )


@attrs.frozen
class CallersSettings:
    """Section `[callers]`."""

    address: str = option(
        'Address for callers; port 0 picks one.', read_address
    )
    certificate: str | None = option('TLS certificate file.', read_path, '')
    private_key: str | None = option('TLS private key file.', read_path, '')


@attrs.frozen
class OperatorsSettings:
    """Section `[operators]`."""

    address: str = option('Address for operators.', read_address)
    key: str = option('Key that operators send.', read_secret)


@attrs.frozen
class SiblingsSettings:
    """Section `[siblings]`."""

    address: str = option('Address for sibling VMs.', read_address)
    key: str = option('Key that sibling VMs send.', read_secret)
    signing_key: str = option(
        'Key that signs resume handles; equal on all VMs.', read_secret
    )
    seeds: list[str] = option(
        'Addresses of sibling VMs to start from.', read_addresses, ''
    )


@attrs.frozen
class VMListSettings:
    """Section `[vmlist]`."""

    address: str = option('Address of the VM list.', read_address)


@attrs.frozen
class WeightsSettings:
    """Section `[weights]`."""

    address: str = option('Address of the weight store.', read_address)
    fetches_per_second: float = option(
        'Fetches a second that the store allows the whole fleet; equal on all'
        ' VMs.',
        read_rate,
        '1',
    )


@attrs.frozen
class LogSettings:
    """Section `[log]`."""

    address: str = option('Address of the log.', read_address)
    retention_seconds: float = option(
        'How long the log keeps records, in seconds.', read_retention, '3600'
    )


@attrs.frozen
class LoggingSettings:
    """Section `[logging]`."""

    level: str = option(
        'One of debug, info, warning, error.', read_level, 'info'
    )
    format: str = option('One of text, json.', read_format, 'text')


@attrs.frozen
class StatsdSettings:
    """Section `[statsd]`."""

    address: str | None = option(
        'Address of the statsd server; empty for none.',
        read_optional_address,
        '',
    )
    prefix: str = option('Prefix of each metric.', read_name, 'laburnumstep')


@attrs.frozen
class Settings:
    """All settings of an entry VM."""

    vm: VMSettings
    """This VM."""
    callers: CallersSettings
    """Front end for callers."""
    operators: OperatorsSettings
    """Front end for operators."""
    siblings: SiblingsSettings
    """Connections to sibling VMs."""
    log: LogSettings
    """The platform's append-only log."""
    vmlist: VMListSettings
    """The platform's VM list."""
    weights: WeightsSettings
    """The platform's weight store."""
    logging: LoggingSettings
    """Log output."""
    statsd: StatsdSettings
    """Metrics."""


SECTIONS: dict[str, type] = {
    'vm': VMSettings,
    'callers': CallersSettings,
    'operators': OperatorsSettings,
    'siblings': SiblingsSettings,
    'log': LogSettings,
    'vmlist': VMListSettings,
    'weights': WeightsSettings,
    'logging': LoggingSettings,
    'statsd': StatsdSettings,
}
"""Class of each section, by section name."""


class _SectionReader:
    """Reads the sections of one file and collects findings."""

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        self._lines = _index_lines(text)
        self.findings: list[_findings.Finding] = []

    def report(self, section: str, key: str, code: str, message: str) -> None:
        line = self._lines.get((section, key))
        position = _findings.SourcePosition(self._file, section, key, line)
        self.findings.append(_findings.Finding(position, code, message))

    def read_section(
        self, name: str, cls: type, texts: typing.Mapping[str, str]
    ) -> dict[str, typing.Any]:
        values = {}
        fields = {field.name: field for field in attrs.fields(cls)}
        for key in texts:
            if key not in fields:
                self.report(name, key, 'unknown_key', _suggest(key, fields))
        for key, field in fields.items():
            text = texts.get(key, field.metadata['default'])
            if text is None:
                self.report(name, key, 'missing_key', 'the key is required')
                continue
            try:
                values[key] = field.metadata['reader'](text.strip())
            except ValueError as error:
                self.report(name, key, 'bad_value', str(error))
        return values


def load_settings(path: str) -> Settings:
    """Return the settings in a file.

    Raises:
        FindingsError: The file is unreadable or invalid; lists every
            mistake.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        position = _findings.SourcePosition(path)
        finding = _findings.Finding(position, 'unreadable', str(error))
        raise _findings.FindingsError([finding]) from error
    return parse_settings(text, path)


def parse_settings(text: str, file: str) -> Settings:
    """Return the settings in the text of a file.

    Args:
        text: Text of the file.
        file: Name of the file, reported in findings.

    Raises:
        FindingsError: The text is invalid; lists every mistake.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        line = getattr(error, 'lineno', None)
        position = _findings.SourcePosition(file, line=line)
        message = str(error).replace('\n', ' ')
        finding = _findings.Finding(position, 'bad_syntax', message)
        raise _findings.FindingsError([finding]) from error
    reader = _SectionReader(file, text)
    for name in parser.sections():
        if name not in SECTIONS:
            reader.report(
                name, '', 'unknown_section', _suggest(name, SECTIONS)
            )
    values = {}
    for name, cls in SECTIONS.items():
        texts = parser[name] if parser.has_section(name) else {}
        values[name] = reader.read_section(name, cls, texts)
    _check_tls_files(reader, values['callers'])
    if reader.findings:
        raise _findings.FindingsError(reader.findings)
    return Settings(
        **{name: cls(**values[name]) for name, cls in SECTIONS.items()}
    )


def _check_tls_files(
    reader: _SectionReader, values: dict[str, typing.Any]
) -> None:
    certificate = values.get('certificate')
    private_key = values.get('private_key')
    if bool(certificate) != bool(private_key):
        missing = 'private_key' if certificate else 'certificate'
        reader.report(
            'callers',
            missing,
            'missing_key',
            'certificate and private_key must be set together',
        )


def _suggest(name: str, known_names: typing.Iterable[str]) -> str:
    close = difflib.get_close_matches(name, list(known_names), n=1)
    return f'not known; did you mean "{close[0]}"?' if close else 'not known'


def _index_lines(text: str) -> dict[tuple[str, str], int]:
    lines: dict[tuple[str, str], int] = {}
    section = ''
    for number, line in enumerate(text.splitlines(), 1):
        if match := _SECTION_LINE.match(line):
            section = match[1]
            lines.setdefault((section, ''), number)
        elif match := _KEY_LINE.match(line):
            lines.setdefault((section, match[1].strip().lower()), number)
    return lines


def describe_settings() -> str:
    """Return the documentation of all keys, as Markdown."""
    lines = [
        '# Settings',
        '',
        'An INI file with the sections below; printed by `laburnumstep'
        ' settings`.',
    ]
    for name, cls in SECTIONS.items():
        lines += [
            '',
            f'## [{name}]',
            '',
            '| key | default | meaning | value |',
        ]
        lines.append('| --- | --- | --- | --- |')
        for field in attrs.fields(cls):
            default = field.metadata['default']
            shown = 'required' if default is None else f'`{default}`'
            meaning = field.metadata['help']
            rule = (field.metadata['reader'].__doc__ or '').split('\n')[0]
            lines.append(
                f'| `{field.name}` | {shown if shown != "``" else "empty"} |'
                f' {meaning} | {rule.removeprefix("Return ")} |'
            )
    return '\n'.join(lines) + '\n'
