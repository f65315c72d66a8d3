"""Entry point of the `laburnumstep-operator` command.

Exit statuses: 0 success, 1 failure, 2 findings or wrong usage, 3 conflict.
"""

from __future__ import annotations

import typer

from laburnumstep import core
from laburnumstep_operator import _configuration_commands
from laburnumstep_operator import _vm_commands

app = typer.Typer(
    help='Operates deployments of the laburnumstep serving system.'
    ' Exit statuses: 0 success, 1 failure, 2 findings or wrong usage,'
    ' 3 conflict.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)


@app.callback()
def configure() -> None:
    """Configure logging: warnings go to standard error as text."""
    core.configure_logging('warning', 'text')


app.command()(_configuration_commands.check)
app.command()(_configuration_commands.diff)
app.command()(_configuration_commands.publish)
app.command()(_vm_commands.status)
app.command()(_vm_commands.explain)
app.command()(_vm_commands.drain)
app.command()(_vm_commands.culprits)


def main() -> None:
    """Run the command line."""
    app()
