"""Runs every folder of features and prints the totals.

Each folder below ``tests/`` that holds feature files runs in a process of
its own, so that step texts of one folder cannot clash with another's.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / 'KNOWN-RED.txt'
PARALLEL_FOLDERS = 5


@attrs.frozen
class FolderResult:
    """What one folder of features gave."""

    folder: pathlib.Path
    """The folder, below the root of the tests."""
    passed: list[str]
    """Names of the scenarios that passed."""
    failed: list[str]
    """Names of the scenarios that failed."""
    known_red: list[str]
    """Names of scenarios tagged as known failures that failed."""
    mended: list[str]
    """Names of scenarios tagged as known failures that passed."""
    output: str
    """The report of the run, for people."""
    crashed: bool
    """Whether the runner ended without a report."""


def find_folders(names: list[str]) -> list[pathlib.Path]:
    """Return the folders with feature files, filtered by name."""
    folders = sorted({path.parent for path in ROOT.rglob('*.feature')})
    if not names:
        return folders
    return [f for f in folders if any(n in str(f) for n in names)]


def list_features(folder: pathlib.Path) -> list[str]:
    """Return the features of a folder without those of folders in it."""
    return [str(path) for path in sorted(folder.glob('*.feature'))]


def run_folder(folder: pathlib.Path) -> FolderResult:
    """Run behave on one folder and read its report."""
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / 'report.json'
        command = [sys.executable, '-m', 'behave', '--no-color']
        command += ['--format', 'json', '--outfile', str(report)]
        command += ['--format', 'plain', '--outfile', '/dev/stdout']
        run = subprocess.run(
            [*command, *list_features(folder)],
            capture_output=True,
            text=True,
        )
        output = run.stdout + run.stderr
        text = report.read_text() if report.exists() else ''
    try:
        features = json.loads(text)
    except ValueError:
        return FolderResult(folder, [], [], [], [], output, True)
    return collect(folder, features, output)


def collect(
    folder: pathlib.Path, features: list[dict], output: str
) -> FolderResult:
    """Sort the scenarios of a report by their verdict."""
    result = FolderResult(folder, [], [], [], [], output, False)
    for feature in features:
        for element in feature.get('elements', []):
            if element['type'] == 'background':
                continue
            name = f'{folder.relative_to(ROOT)}: {element["name"]}'
            passed = element.get('status') == 'passed'
            tagged = 'known_red' in element.get('tags', [])
            match (passed, tagged):
                case (True, False):
                    result.passed.append(name)
                case (True, True):
                    result.mended.append(name)
                case (False, True):
                    result.known_red.append(name)
                case _:
                    result.failed.append(name)
    return result


def report_known_red(results: list[FolderResult]) -> list[str]:
    """Print known failures; return those that the list does not name."""
    listed = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    names = [name for result in results for name in result.known_red]
    for name in names:
        print(f'known red: {name}')
    return [n for n in names if n.split(': ', 1)[1] not in listed]


def main() -> int:
    """Run the folders named on the command line, or all of them."""
    folders = find_folders(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FOLDERS) as pool:
        results = list(pool.map(run_folder, folders))
    for result in results:
        if result.failed or result.crashed:
            print(result.output)
        for name in result.failed:
            print(f'failed: {name}')
        for name in result.mended:
            print(f'known red, but passed: {name}')
        if result.crashed:
            print(f'no report from {result.folder}')
    unlisted = report_known_red(results)
    for name in unlisted:
        print(f'tagged known_red, but not in KNOWN-RED.txt: {name}')
    passed = sum(len(r.passed) + len(r.mended) for r in results)
    failed = sum(len(r.failed) + r.crashed for r in results) + len(unlisted)
    skipped = sum(len(r.known_red) for r in results)
    tail = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{tail}')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
