"""Commands `fireflywell bundle ...`."""

import dataclasses
import json
import pathlib

import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import canonical
from fireflywell.bundle import checks
from fireflywell.bundle import documents
from fireflywell.bundle import model
from fireflywell.bundle import review as review_lib
from fireflywell.bundle import signatures
from fireflywell.bundle import trust
from fireflywell.cli import rollout_wait
from fireflywell.cli import running
from fireflywell.cli import settings as cli_settings
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import tables

_FILE = click.Path(path_type=pathlib.Path)
_zones_option = click.option(
    "--zones",
    default=checks.DEFAULT_ZONES,
    show_default=True,
    type=click.IntRange(1),
    help="Availability zones that pools are spread over.",
)


@click.group()
def bundle() -> None:
    """Checks, reviews, signs and rolls out bundles.

    \b
    Examples:
      fireflywell bundle check atlas.toml
      fireflywell --config ops.toml bundle review atlas.toml
      fireflywell --config ops.toml bundle sign atlas.toml --key alice.key
      fireflywell --config ops.toml bundle rollout atlas.toml \\
          --signature atlas.toml.alice.sig --signature atlas.toml.bob.sig
      fireflywell --config ops.toml bundle wait 2
    """  # noqa: D301


@bundle.command()
@click.argument("file", type=_FILE)
@_zones_option
@click.pass_obj
def check(
    context: cli_settings.CliContext, file: pathlib.Path, zones: int
) -> None:
    """Checks a bundle document and prints all problems.

    \b
    Example:
      fireflywell bundle check atlas.toml
    """  # noqa: D301
    loaded = _load(file, zones)
    body = canonical.encode_bundle(loaded)
    digest = canonical.compute_digest(body)
    running.print_result(
        context,
        {"version": loaded.version, "digest": digest, "bytes": len(body)},
        [f"{file}: version {loaded.version} is valid", f"digest {digest}"],
    )


@bundle.command()
@click.argument("file", type=_FILE)
@_zones_option
@click.pass_obj
def review(
    context: cli_settings.CliContext, file: pathlib.Path, zones: int
) -> None:
    """Shows what a bundle changes, and the effects.

    \b
    Example:
      fireflywell --config ops.toml bundle review atlas.toml
    """  # noqa: D301
    new = _load(file, zones)

    async def work() -> tuple[review_lib.Change, ...]:
        async with running.connect(context) as connection:
            current = await acceptance.read_head(connection.table)
            old = await _read_body(connection, current)
            page = await tables.scan_all_rows(
                connection.table, vm_records.VM_PREFIX
            )
        assignments = tuple(
            vm_records.decode_vm_record(row.value) for row in page.rows
        )
        return review_lib.compare_bundles(old, new, assignments, zones)

    changes = running.run(work)
    running.print_result(
        context,
        [
            {
                "kind": type(change).__name__,
                "is_tighter": review_lib.is_tighter(change),
                "text": review_lib.describe_change(change),
            }
            for change in changes
        ],
        [
            ("! " if review_lib.is_tighter(change) else "  ")
            + review_lib.describe_change(change)
            for change in changes
        ]
        or ["no differences"],
    )


@bundle.command()
@click.argument("file", type=_FILE)
@click.option("--key", required=True, type=_FILE, help="Private key file.")
@click.option(
    "--previous-digest",
    help="Digest of the version before; read from the platform if not given.",
)
@click.option(
    "--output", type=_FILE, help="Signature file; FILE.KEYNAME.sig if omitted."
)
@click.pass_obj
def sign(
    context: cli_settings.CliContext,
    file: pathlib.Path,
    key: pathlib.Path,
    previous_digest: str | None,
    output: pathlib.Path | None,
) -> None:
    """Signs a reviewed bundle; writes a detached signature file.

    \b
    Example:
      fireflywell --config ops.toml bundle sign atlas.toml --key alice.key
    """  # noqa: D301
    loaded = _load(file, checks.DEFAULT_ZONES)
    body = canonical.encode_bundle(loaded)

    async def find_previous() -> str:
        async with running.connect(context) as connection:
            current = await acceptance.read_head(connection.table)
        return current.digest

    if previous_digest is None:
        previous_digest = running.run(find_previous)
    head = signatures.make_head(loaded, body, previous_digest)
    private_key = running.read_text(key).strip()
    try:
        signature = signatures.sign_head(head, private_key)
    except errors.BundleSignatureError as error:
        raise errors.SettingsError(f"{key}: {error}") from error
    signed = dataclasses.replace(head, signatures=(signature,))
    path = output or file.with_name(f"{file.name}.{key.stem}.sig")
    running.write_text(path, signatures.encode_signed_head(signed))
    running.print_result(
        context,
        {"signature_file": str(path), "digest": head.digest},
        [f"signed version {head.version}, digest {head.digest}: {path}"],
    )


@bundle.command()
@click.argument("file", type=_FILE)
@click.option(
    "--signature",
    "signature_files",
    multiple=True,
    required=True,
    type=_FILE,
    help="Signature file; give one for each reviewer.",
)
@click.pass_obj
def rollout(
    context: cli_settings.CliContext,
    file: pathlib.Path,
    signature_files: tuple[pathlib.Path, ...],
) -> None:
    """Makes a signed bundle the accepted one.

    \b
    Example:
      fireflywell --config ops.toml bundle rollout atlas.toml \\
          --signature atlas.toml.alice.sig --signature atlas.toml.bob.sig
    """  # noqa: D301
    loaded = _load(file, checks.DEFAULT_ZONES)
    head = _merge_signatures(signature_files)
    anchor = trust.load_trust(pathlib.Path(context.require("trust_file")))

    async def work() -> acceptance.Accepted:
        async with running.connect(context) as connection:
            return await acceptance.accept_bundle(
                connection.table,
                connection.objects,
                canonical.encode_bundle(loaded),
                head,
                anchor,
                connection.clock,
                connection.rng,
            )

    accepted = running.run(work)
    verb = "was already accepted" if accepted.was_known else "is accepted"
    running.print_result(
        context,
        {"version": head.version, "digest": head.digest},
        [f"version {head.version} {verb}, digest {head.digest}"],
    )


@bundle.command()
@click.pass_obj
def show(context: cli_settings.CliContext) -> None:
    """Shows the accepted bundle's head.

    \b
    Example:
      fireflywell --config ops.toml --json bundle show
    """  # noqa: D301

    async def work() -> acceptance.CurrentHead:
        async with running.connect(context) as connection:
            return await acceptance.read_head(connection.table)

    current = running.run(work)
    if current.record is None:
        running.print_result(context, None, ["no bundle is accepted yet"])
        return
    head = current.record.head
    running.print_result(
        context,
        json.loads(signatures.encode_record(current.record)),
        [
            f"version {head.version}",
            f"digest {head.digest}",
            f"signatures {len(head.signatures)}",
            f"changes of signers {len(current.record.changes)}",
        ],
    )


@bundle.command()
@click.argument("version", type=click.IntRange(1))
@click.option(
    "--entry",
    "entries",
    multiple=True,
    help="Base address of an entry; those of the settings if not given.",
)
@click.option(
    "--timeout",
    default=60.0,
    show_default=True,
    type=click.FloatRange(0),
    help="Seconds to wait.",
)
@click.pass_obj
def wait(
    context: cli_settings.CliContext,
    version: int,
    entries: tuple[str, ...],
    timeout: float,
) -> None:
    """Waits until a version is in force at all given entries.

    \b
    Example:
      fireflywell bundle wait 2 --entry http://127.0.0.1:8080
    """  # noqa: D301
    addresses = entries or context.settings.entries
    if not addresses:
        raise errors.SettingsError(
            "no entries are known; give --entry, or key entries in the file "
            "given by --config"
        )
    reports = running.run(
        lambda: rollout_wait.wait_for_version(
            version, addresses, timeout, clock_lib.SystemClock()
        )
    )
    running.print_result(
        context,
        [dataclasses.asdict(report) for report in reports],
        [f"{item.address}: version {item.version}" for item in reports],
    )


def _load(file: pathlib.Path, zones: int) -> model.Bundle:
    return documents.parse_bundle(running.read_text(file), str(file), zones)


async def _read_body(
    connection: running.Connection, current: acceptance.CurrentHead
) -> model.Bundle | None:
    if current.record is None:
        return None
    name = acceptance.make_body_name(current.digest)
    body = await connection.objects.get(name)
    if body is None:
        raise errors.BundleError(
            f"the body of version {current.version} isn't in the object "
            "store; roll it out again"
        )
    return canonical.decode_bundle(body)


def _merge_signatures(
    files: tuple[pathlib.Path, ...],
) -> signatures.BundleHead:
    merged: signatures.BundleHead | None = None
    for file in files:
        try:
            head = signatures.decode_signed_head(running.read_text(file))
        except errors.BundleSignatureError as error:
            raise errors.SettingsError(f"{file}: {error}") from error
        if merged is None:
            merged = head
            continue
        if dataclasses.replace(head, signatures=merged.signatures) != merged:
            raise errors.SettingsError(
                f"{file}: signs another document than {files[0]}; let all "
                "reviewers sign the same file and predecessor"
            )
        merged = dataclasses.replace(
            merged, signatures=(*merged.signatures, *head.signatures)
        )
    assert merged is not None
    return merged
