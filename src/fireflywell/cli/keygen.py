"""Command `fireflywell keygen`."""

import pathlib

import click
import nacl.encoding
import nacl.signing

from fireflywell.cli import running
from fireflywell.cli import settings as cli_settings


@click.command()
@click.argument("name")
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    help="Private key file; NAME.key if not given.",
)
@click.pass_obj
def keygen(
    context: cli_settings.CliContext, name: str, output: pathlib.Path | None
) -> None:
    """Makes a reviewer's key pair.

    Writes the private key to a file that only its owner can read and prints
    the public key.

    \b
    Example:
      fireflywell keygen alice --output alice.key
    """  # noqa: D301
    key = nacl.signing.SigningKey.generate()
    path = output or pathlib.Path(f"{name}.key")
    encoder = nacl.encoding.HexEncoder
    running.write_text(path, key.encode(encoder).decode() + "\n", 0o600)
    public_key = key.verify_key.encode(encoder).decode()
    running.print_result(
        context,
        {"name": name, "public_key": public_key, "private_key_file": str(path)},
        [
            "[[signing.reviewers]]",
            f'name = "{name}"',
            f'public_key = "{public_key}"',
        ],
    )
