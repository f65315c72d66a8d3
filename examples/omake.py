"""Declares the deployment of the Omake burial fund: letters and postings.

Example:
    python examples/omake.py | laburnumstep-operator check -
    python examples/omake.py --address letter-1=127.0.0.1:40001
"""

from __future__ import annotations

import options

import laburnumstep_operator
import typer

LINK_BYTES_PER_SECOND = 1_000_000
"""Limit of each direction between Windhoek and Swakop, billed by volume."""
DATA_CENTRES = ['windhoek-1', 'windhoek-2', 'swakop-1']
LETTER_KV_TOKENS = 90_000
"""Size of a letter-writing engine's KV cache, in tokens."""
ARREARS_PRIORITY = 10
"""Members wait on the phone while clerks send requests about arrears."""
LARGE_BRANCHES = ['katutura', 'oshakati', 'walvis-bay']
SMALL_BRANCHES = ['gobabis', 'keetmanshoop', 'luderitz', 'otjiwarongo']
SMALL_BRANCHES += ['rundu', 'tsumeb']


def declare_targets(
    builder: laburnumstep_operator.DeploymentBuilder,
    overrides: options.Options,
) -> None:
    """Declare the letter-writing engines and the ledger servers."""
    for number in range(1, 7):
        name = f'letter-{number}'
        builder.add_engine(
            name,
            data_centre=DATA_CENTRES[(number - 1) // 2],
            address=overrides.find_address(name, 7300 + number),
            models=['letter', 'arrears-answer'],
            kv_tokens=LETTER_KV_TOKENS,
            checks_fence=True,
            version='2026-09',
        )
    builder.add_service(
        'ledger',
        {
            'post': laburnumstep_operator.Operation(
                idempotent=False, outcome_query=True
            ),
            'balance': laburnumstep_operator.Operation(idempotent=True),
        },
    )
    for number, data_centre in enumerate(DATA_CENTRES, 1):
        name = f'ledger-{number}'
        builder.add_service_target(
            name,
            data_centre=data_centre,
            address=overrides.find_address(name, 7400 + number),
            service='ledger',
        )


def declare_workspaces(
    builder: laburnumstep_operator.DeploymentBuilder,
    overrides: options.Options,
) -> None:
    """Declare a workspace for each branch, and one for the phone line."""
    for name in LARGE_BRANCHES + SMALL_BRANCHES:
        large = name in LARGE_BRANCHES
        builder.add_workspace(
            name,
            key_digest=overrides.digest_secret(name),
            requests_per_second=40 if large else 8,
            concurrency=60 if large else 10,
            tokens_per_second=15_000 if large else 2_500,
        )
    builder.add_workspace(
        'phone',
        key_digest=overrides.digest_secret('phone'),
        requests_per_second=20,
        concurrency=30,
        tokens_per_second=4_000,
        priority=ARREARS_PRIORITY,
    )


def main(address: options.Addresses, secrets: options.Secrets = '') -> None:
    """Print the configuration document of the Omake burial fund."""
    overrides = options.read_options(address, secrets)
    builder = laburnumstep_operator.DeploymentBuilder('omake')
    builder.add_place('windhoek', 'windhoek', ['windhoek-1', 'windhoek-2'])
    builder.add_place('swakop', 'swakop', ['swakop-1'])
    declare_targets(builder, overrides)
    declare_workspaces(builder, overrides)
    # Only a complete letter is of use, and the engine generates a preempted
    # one again from its start, so preemptions cost the most.
    builder.set_weights(stall=1, preemption=3, tail=1)
    for source, destination in (
        ('windhoek', 'swakop'),
        ('swakop', 'windhoek'),
    ):
        builder.set_link(
            source, destination, bytes_per_second=LINK_BYTES_PER_SECOND
        )
    builder.print_document()


if __name__ == '__main__':
    typer.run(main)
