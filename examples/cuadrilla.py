"""Declares the deployment of Cuadrilla Analítica: shift plans and bookings.

Example:
    python examples/cuadrilla.py | laburnumstep-operator check -
    python examples/cuadrilla.py --address gang-1=127.0.0.1:40001
"""

from __future__ import annotations

import options

import laburnumstep_operator
import typer

LINK_BYTES_PER_SECOND = 2_000_000
"""Limit of each direction between Lima and Piura, billed by volume."""
DATA_CENTRES = ['lima-1', 'lima-2', 'piura-1']
GANG_DATA_CENTRES = ['lima-1', 'lima-1', 'lima-2', 'lima-2', 'piura-1']
GANG_MODELS = ['gang-plan', 'foreman-answer']
GANG_KV_TOKENS = 120_000
"""Size of a planning engine's KV cache, in tokens."""
LARGE_WORKSPACES = ['costa-sur', 'sierra']
SMALL_WORKSPACES = [
    'ancon',
    'callao',
    'chosica',
    'huacho',
    'lurin',
    'sullana',
    'talara',
    'tumbes',
]


def declare_targets(
    builder: laburnumstep_operator.DeploymentBuilder,
    overrides: options.Options,
) -> None:
    """Declare the planning engines and the booking servers."""
    for number, data_centre in enumerate(GANG_DATA_CENTRES, 1):
        name = f'gang-{number}'
        builder.add_engine(
            name,
            data_centre=data_centre,
            address=overrides.find_address(name, 7100 + number),
            models=GANG_MODELS,
            kv_tokens=GANG_KV_TOKENS,
            # The engine in Piura ignores fencing tokens.
            checks_fence=data_centre != 'piura-1',
            version='2026-11',
        )
    builder.add_service(
        'booking',
        {
            'confirm': laburnumstep_operator.Operation(
                idempotent=False, outcome_query=True
            ),
            'roster': laburnumstep_operator.Operation(idempotent=True),
        },
    )
    for number, data_centre in enumerate(DATA_CENTRES, 1):
        name = f'booking-{number}'
        builder.add_service_target(
            name,
            data_centre=data_centre,
            address=overrides.find_address(name, 7200 + number),
            service='booking',
        )


def declare_workspaces(
    builder: laburnumstep_operator.DeploymentBuilder,
    overrides: options.Options,
) -> None:
    """Declare the workspaces; the large ones have higher limits."""
    for name in LARGE_WORKSPACES:
        builder.add_workspace(
            name,
            key_digest=overrides.digest_secret(name),
            requests_per_second=60,
            concurrency=80,
            tokens_per_second=20_000,
        )
    for name in SMALL_WORKSPACES:
        builder.add_workspace(
            name,
            key_digest=overrides.digest_secret(name),
            requests_per_second=10,
            concurrency=12,
            tokens_per_second=3_000,
        )


def main(address: options.Addresses, secrets: options.Secrets = '') -> None:
    """Print the configuration document of Cuadrilla Analítica."""
    overrides = options.read_options(address, secrets)
    builder = laburnumstep_operator.DeploymentBuilder('cuadrilla')
    builder.add_place('lima', 'lima', ['lima-1', 'lima-2'])
    builder.add_place('piura', 'piura', ['piura-1'])
    declare_targets(builder, overrides)
    declare_workspaces(builder, overrides)
    # Supervisors read a plan while it streams, so stalls cost the most.
    builder.set_weights(stall=3, preemption=1, tail=1)
    for source, destination in (('lima', 'piura'), ('piura', 'lima')):
        builder.set_link(
            source, destination, bytes_per_second=LINK_BYTES_PER_SECOND
        )
    builder.print_document()


if __name__ == '__main__':
    typer.run(main)
