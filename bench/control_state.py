"""Measures what the control state costs a process.

Prints processor time and bytes of verifying and adopting a bundle against its
size, and the reads and writes of the store in steady state, with slopes.

Usage: python bench/control_state.py
"""

import dataclasses
import datetime
import random
import time

import anyio
import nacl.encoding
import nacl.signing

from fireflywell import clock as clock_lib
from fireflywell.bundle import adoption
from fireflywell.bundle import canonical
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.bundle import signatures
from fireflywell.bundle import watcher
from fireflywell.coordination import leases
from fireflywell.membership import links
from fireflywell.standins import table_store

_REPEATS = 20
_STEADY_SECONDS = 600
_HEX = nacl.encoding.HexEncoder


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a bundle."""

    pools: int
    teams: int

    @property
    def entries(self) -> int:
        """Pools, services and teams; each pool has one service."""
        return 2 * self.pools + self.teams


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Cost of adopting one bundle.

    Attributes:
        size: Size of the bundle.
        body_bytes: Bytes of the canonical form.
        head_bytes: Bytes of the head row.
        adopt_ms: Processor time in milliseconds, the least of the repeats.
    """

    size: Size
    body_bytes: int
    head_bytes: int
    adopt_ms: float


_SIZES = (Size(5, 4), Size(25, 180), Size(50, 360), Size(101, 720))


class NoObjects:
    """Object store without content; steady state reads none."""

    __slots__ = ()

    async def put(self, name: str, content: bytes) -> None:
        """Drops an object."""

    async def get(self, name: str) -> bytes | None:
        """Finds nothing."""


def make_signers(count: int) -> tuple[nacl.signing.SigningKey, ...]:
    """Returns fixed keys."""
    return tuple(
        nacl.signing.SigningKey(bytes([number]) * 32)
        for number in range(1, count + 1)
    )


def make_bundle(size: Size, signing: model.Signing) -> model.Bundle:
    """Returns a bundle of a size."""
    pools = tuple(
        model.Pool(f"pool-{number:03d}", 24, carries=("reports",))
        for number in range(size.pools)
    )
    return model.Bundle(
        version=1,
        signing=signing,
        pools=pools,
        services=tuple(
            model.Service(
                pool.name,
                pool.name,
                7_100,
                model.Budget(12, model.FailureDomain.ZONE),
            )
            for pool in pools
        ),
        classes=(model.RequestClass("quick", 4.0),),
        teams=tuple(
            model.Team(f"team-{number:03d}", 1.0, 16.0, 32_768.0)
            for number in range(size.teams)
        ),
    )


def measure(size: Size) -> Sample:
    """Measures the adoption of a bundle signed by three reviewers."""
    keys = make_signers(3)
    signing = model.Signing(
        3,
        tuple(
            model.Reviewer(f"r{i}", key.verify_key.encode(_HEX).decode())
            for i, key in enumerate(keys)
        ),
    )
    bundle = make_bundle(size, signing)
    body = canonical.encode_bundle(bundle)
    head = signatures.make_head(bundle, body, "")
    signed = tuple(
        signatures.sign_head(head, key.encode(_HEX).decode()) for key in keys
    )
    head = dataclasses.replace(head, signatures=signed)
    record = signatures.HeadRecord(
        head, (signatures.SigningChange(head, signing),)
    )
    text = signatures.encode_record(record)
    anchor = signatures.TrustAnchor(0, signing)
    times: list[float] = []
    for _ in range(_REPEATS):
        adopter = adoption.BundleAdopter(holder_lib.BundleHolder(), anchor)
        started = time.process_time()
        assert adopter.adopt(signatures.decode_record(text), body)
        times.append(1000 * (time.process_time() - started))
    return Sample(size, len(body), len(text), min(times))


async def count_steady_calls(role_count: int, is_holder: bool) -> None:
    """Prints the calls a second of one process with a number of roles."""
    clock = clock_lib.ManualClock()
    table = table_store.MemoryTable()
    rng = random.Random(1)
    signing = model.Signing(1, ())
    bundle_watcher = watcher.BundleWatcher(
        holder_lib.BundleHolder(),
        table,
        NoObjects(),
        links.NullPeerLinks("127.0.0.1:1", "0" * 32),
        signatures.TrustAnchor(0, signing),
        0,
        clock,
        rng,
    )
    # Others hold the leases if the measured process only observes; their
    # calls aren't counted.
    others = [
        leases.LeaseKeeper(f"role-{i}", "other", table, clock, rng)
        for i in range(role_count)
    ]
    keepers = [
        leases.LeaseKeeper(f"role-{i}", "measured", table, clock, rng)
        for i in range(role_count)
    ]
    reads = writes = 0
    active = keepers if is_holder else [*others, *keepers]
    for keeper in active:
        await keeper.step()
    for _ in range(_STEADY_SECONDS):
        clock.advance(datetime.timedelta(seconds=1))
        if not is_holder:
            for keeper in others:
                await keeper.step()
        before = (table.reads, table.writes)
        await bundle_watcher.refresh()
        for keeper in keepers:
            await keeper.step()
        reads += table.reads - before[0]
        writes += table.writes - before[1]
    kind = "holder" if is_holder else "observer"
    print(
        f"{kind} of {role_count} roles: "
        f"{reads / _STEADY_SECONDS:.2f} reads/s, "
        f"{writes / _STEADY_SECONDS:.2f} writes/s"
    )


def measure_chain(changes: int) -> None:
    """Prints the cost of verifying a head after changes of the signers."""
    keys = make_signers(3)
    reviewers = tuple(
        model.Reviewer(f"r{i}", key.verify_key.encode(_HEX).decode())
        for i, key in enumerate(keys)
    )
    signings = (model.Signing(3, reviewers), model.Signing(2, reviewers))
    chain: list[signatures.SigningChange] = []
    for version in range(1, changes + 2):
        signing = signings[version % 2]
        head = signatures.BundleHead(
            version,
            "0" * 64,
            "0" * 64,
            canonical.compute_signing_digest(signing),
        )
        signed = tuple(
            signatures.sign_head(head, key.encode(_HEX).decode())
            for key in keys
        )
        head = dataclasses.replace(head, signatures=signed)
        chain.append(signatures.SigningChange(head, signing))
    record = signatures.HeadRecord(chain[-1].head, tuple(chain))
    anchor = signatures.TrustAnchor(0, signings[0])
    text = signatures.encode_record(record)
    times: list[float] = []
    for _ in range(_REPEATS):
        started = time.process_time()
        signatures.verify_record(signatures.decode_record(text), anchor)
        times.append(1000 * (time.process_time() - started))
    print(
        f"{changes} changes of signers: head row {len(text)} bytes, decode "
        f"and verify {min(times):.2f} ms"
    )


def print_slopes(samples: list[Sample]) -> None:
    """Prints the cost of one more entry between smallest and largest."""
    first, last = samples[0], samples[-1]
    entries = last.size.entries - first.size.entries
    time_us = 1000 * (last.adopt_ms - first.adopt_ms) / entries
    body = (last.body_bytes - first.body_bytes) / entries
    print(f"slope: {time_us:.1f} us and {body:.0f} bytes for each entry")


def main() -> None:
    """Prints all figures."""
    samples = [measure(size) for size in _SIZES]
    for sample in samples:
        print(
            f"{sample.size.pools} pools, {sample.size.teams} teams: body "
            f"{sample.body_bytes} bytes, head row {sample.head_bytes} bytes, "
            f"adopt {sample.adopt_ms:.2f} ms"
        )
    print_slopes(samples)
    for changes in (0, 10, 50):
        measure_chain(changes)
    for role_count in (1, 2, 4):
        for is_holder in (False, True):
            anyio.run(count_steady_calls, role_count, is_holder)


if __name__ == "__main__":
    main()
