"""Runs the behave features of all folders and prints the totals.

Each folder below ``tests/`` that contains feature files runs in its own
process, so that steps of two folders with the same text do not conflict.
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
ALONE = ('laburnumstep/platform/crowds',)
"""Folders that run after the others, one at a time: their scenarios measure
the memory of processes under load."""


@attrs.frozen
class FolderResult:
    """Outcome of the scenarios in one folder."""

    folder: pathlib.Path
    """Path of the folder."""
    passed: list[str]
    """Names of the scenarios that passed."""
    failed: list[str]
    """Names of the scenarios that failed."""
    known_red: list[str]
    """Names of the scenarios tagged `known_red` that failed."""
    unexpectedly_passed: list[str]
    """Names of the scenarios tagged `known_red` that passed."""
    output: str
    """Output of behave, for people."""
    crashed: bool
    """Whether behave ended without a valid report."""


def find_folders(names: list[str]) -> list[pathlib.Path]:
    """Return the folders that contain feature files.

    Args:
        names: Parts of folder paths. A folder is returned if its path
            contains one of them; an empty list selects all folders.
    """
    folders = sorted({path.parent for path in ROOT.rglob('*.feature')})
    if not names:
        return folders
    return [f for f in folders if any(n in str(f) for n in names)]


def is_alone(folder: pathlib.Path) -> bool:
    """Return whether a folder does not run beside others."""
    return str(folder.relative_to(ROOT)) in ALONE


def list_features(folder: pathlib.Path) -> list[str]:
    """Return the feature files of a folder, without its subfolders."""
    return [str(path) for path in sorted(folder.glob('*.feature'))]


def run_folder(folder: pathlib.Path) -> FolderResult:
    """Run behave on one folder and read its JSON report."""
    with tempfile.TemporaryDirectory() as report_folder:
        report = pathlib.Path(report_folder) / 'report.json'
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
    return group_scenarios(folder, features, output)


def group_scenarios(
    folder: pathlib.Path, features: list[dict], output: str
) -> FolderResult:
    """Group the scenarios of a report by status and `known_red` tag."""
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
                    result.unexpectedly_passed.append(name)
                case (False, True):
                    result.known_red.append(name)
                case _:
                    result.failed.append(name)
    return result


def report_known_red(results: list[FolderResult]) -> list[str]:
    """Print the known failures that occurred.

    Returns:
        The names of those that are missing from `KNOWN-RED.txt`.
    """
    listed = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    names = [name for result in results for name in result.known_red]
    for name in names:
        print(f'known red: {name}')
    return [n for n in names if n.split(': ', 1)[1] not in listed]


def main() -> int:
    """Run the folders selected on the command line and print the totals.

    Returns:
        Exit status: 0 if scenarios passed and none failed, otherwise 1.
    """
    folders = find_folders(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FOLDERS) as pool:
        results = list(
            pool.map(run_folder, [f for f in folders if not is_alone(f)])
        )
    results += [run_folder(folder) for folder in folders if is_alone(folder)]
    for result in results:
        if result.failed or result.crashed:
            print(result.output)
        for name in result.failed:
            print(f'failed: {name}')
        for name in result.unexpectedly_passed:
            print(f'known red, but passed: {name}')
        if result.crashed:
            print(f'no report from {result.folder}')
    unlisted = report_known_red(results)
    for name in unlisted:
        print(f'tagged known_red, but not in KNOWN-RED.txt: {name}')
    passed = sum(len(r.passed) + len(r.unexpectedly_passed) for r in results)
    failed = sum(len(r.failed) + r.crashed for r in results) + len(unlisted)
    skipped = sum(len(r.known_red) for r in results)
    suffix = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{suffix}')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
