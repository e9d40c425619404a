"""Schema check, canonical form, review and signatures of bundles."""

import dataclasses
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from fireflywell import errors
from fireflywell.bundle import canonical
from fireflywell.bundle import documents
from fireflywell.bundle import model
from fireflywell.bundle import review
from fireflywell.bundle import signatures
from fireflywell.fleet import vm_records
from tests import bundle_samples

_TEXT = (bundle_samples.ROOT / "examples" / "atlas.toml").read_text()

# Replacement in the example, and what the message must name.
_MISTAKES = (
    ("version = 1", "version = 0", "key version"),
    ("version = 1", 'version = "1"', "key version: expected int"),
    ("version = 1", "version = true", "key version: expected int"),
    ("version = 1", "version = 1\ncolour = 2", "unknown key colour"),
    ("version = 1", "", "key version is missing"),
    ("threshold = 2", "threshold = 4", "key signing.threshold"),
    ('name = "bob"', 'name = "alice"', "signing.reviewers[alice].name"),
    ('public_key = "d75a', 'public_key = "xx', "reviewers[alice].public_key"),
    ('pool = "bid"', 'pool = "bids"', "services[bid].pool: names the unknown"),
    ("port = 7101", "port = 70000", "services[bid].port"),
    ("port = 7101", 'port = "x"', "services[bid].port: expected int"),
    ('name = "claims"', 'name = "bid"', "used 2 times"),
    ('name = "claims"', 'name = "Claims!"', "pools[Claims!].name"),
    ("connections = 64", "connections = 4", "services[bid].connections"),
    ('survives = "zone"', 'survives = "town"', "one of none, vm, rack, zone"),
    ("minimum_instances = 3", "minimum_instances = 7", "has 6 VMs"),
    ("minimum_instances = 3", "minimum_instances = 5", "lower it to 4"),
    ("minimum_instances = 3", "minimum_instances = -1", "budget.minimum"),
    ("weight = 6.0", "weight = nan", "classes[quick-quotes].weight"),
    ("weight = 6.0", "weight = 0", "classes[quick-quotes].weight"),
    ("deadline = 2.0", "deadline = 0", "classes[quick-quotes].deadline"),
    ("deadline = 2.0", "deadline = -1", "classes[quick-quotes].deadline"),
    ("queue_limit = 400", "queue_limit = 0", "queue_limit"),
    ('carries = ["claims-review"]', 'carries = "x"', "expected a list"),
    ('["quote"]', '["quote", "quote"]', "lists 'quote' twice"),
    ("cores = 96", "cores = -1", "teams[brokers].cores"),
    ("wave_size = 4", "wave_size = 0", "maintenance.wave_size"),
    ("interval = 1814400", "interval = 0", "maintenance.interval"),
    ("[maintenance]", "[maintenance", "not valid TOML"),
    ("[maintenance]", "maintenance = 1\n[x]", ""),
    ("target_vms = 6", "target_vms = -6", "pools[bid].target_vms"),
)


class DocumentTest(unittest.TestCase):
    """The schema check."""

    def test_each_mistake_is_named(self) -> None:
        """Fails if a wrong document is accepted or its key isn't named."""
        for old, new, expected in _MISTAKES:
            with self.subTest(new):
                self.assertIn(old, _TEXT)
                text = _TEXT.replace(old, new, 1)
                with self.assertRaises(errors.BundleSchemaError) as caught:
                    documents.parse_bundle(text, "x.toml")
                self.assertIn("x.toml: ", str(caught.exception))
                self.assertIn(expected, str(caught.exception))

    def test_all_problems_at_once(self) -> None:
        """Fails if an operator has to correct problems one by one."""
        text = _TEXT.replace("port = 7101", "port = 0")
        text = text.replace("wave_size = 4", "wave_size = 0")
        text = text.replace("threshold = 2", "threshold = 9")
        with self.assertRaises(errors.BundleSchemaError) as caught:
            documents.parse_bundle(text, "x.toml")
        self.assertEqual(len(str(caught.exception).splitlines()), 3)

    def test_same_port_on_one_vm(self) -> None:
        """Fails if two instances would need one address and port."""
        text = _TEXT.replace('pool = "performance"', 'pool = "bid"')
        text = text.replace("port = 7102", "port = 7101")
        with self.assertRaisesRegex(errors.BundleSchemaError, "also used"):
            documents.parse_bundle(text, "x.toml")

    def test_examples_are_valid(self) -> None:
        """Fails if a shipped example isn't accepted."""
        for name in ("atlas", "district"):
            path = bundle_samples.ROOT / "examples" / f"{name}.toml"
            bundle = documents.parse_bundle(path.read_text(), name)
            self.assertEqual(len(bundle.services), 5)
            self.assertEqual([p.spare for p in bundle.pools].count(True), 1)

    @settings(derandomize=True, database=None, deadline=None, max_examples=50)
    @given(order=strategies.randoms(use_true_random=False))
    def test_canonical_form_ignores_order(self, order: object) -> None:
        """Fails if the order of entries changes the digest."""
        bundle = bundle_samples.EXAMPLE
        teams = list(bundle.teams)
        order.shuffle(teams)  # type: ignore[attr-defined]
        shuffled = dataclasses.replace(bundle, teams=tuple(teams))
        body = canonical.encode_bundle(shuffled)
        self.assertEqual(body, canonical.encode_bundle(bundle))
        decoded = canonical.decode_bundle(body)
        self.assertEqual(decoded, canonical.sort_bundle(bundle))

    def test_wrong_bodies_are_refused(self) -> None:
        """Fails if a damaged body crashes a process or is accepted."""
        body = canonical.encode_bundle(bundle_samples.EXAMPLE)
        for wrong in (b"", body[:-1], body + b"x", b"\x01", b"\xc1"):
            with self.assertRaises(errors.BundleSchemaError):
                canonical.decode_bundle(wrong)

    def test_review_names_effects(self) -> None:
        """Fails if a review hides what shrinks, tightens, moves or rotates."""
        old = bundle_samples.EXAMPLE
        bid, *rest = old.pools
        service, *others = old.services
        new = dataclasses.replace(
            old,
            pools=(dataclasses.replace(bid, target_vms=5), *rest),
            services=(
                dataclasses.replace(
                    service, budget=model.Budget(4, model.FailureDomain.VM)
                ),
                *others,
            ),
            signing=bundle_samples.FIRST_SIGNING,
        )
        vms = tuple(vm_records.VmRecord(f"vm{i}", "bid") for i in range(6))
        changes = review.compare_bundles(old, new, vms)
        lines = "\n".join(review.describe_change(item) for item in changes)
        for expected in (
            "pool bid shrinks from 6 to 5 VMs",
            "budget of bid tightens",
            "1 of 6 VMs of pool bid would move",
            "signers of the next bundle change: added ann",
            "budget of bid leaves no room to drain",
        ):
            self.assertIn(expected, lines)
        self.assertEqual(review.compare_bundles(old, old, vms), ())


class SignatureTest(unittest.TestCase):
    """Signatures and the chain of signers."""

    def test_threshold_of_distinct_reviewers(self) -> None:
        """Fails if one reviewer, a stranger or a copy makes up the number."""
        for signers in (("ann",), ("ann", "ann"), ("ann", "eve"), ()):
            signed = bundle_samples.make_signed(1, "", signers)
            with self.assertRaises(errors.BundleSignatureError):
                signatures.verify_head(
                    signed.head, bundle_samples.FIRST_SIGNING
                )
        signed = bundle_samples.make_signed(1, "")
        signatures.verify_head(signed.head, bundle_samples.FIRST_SIGNING)

    def test_every_field_is_signed(self) -> None:
        """Fails if a signed head can be altered."""
        head = bundle_samples.make_signed(1, "").head
        for change in (
            {"version": 2},
            {"digest": "0" * 64},
            {"previous_digest": "0" * 64},
            {"signing_digest": "0" * 64},
        ):
            altered = dataclasses.replace(head, **change)
            with self.assertRaises(errors.BundleSignatureError):
                signatures.verify_head(altered, bundle_samples.FIRST_SIGNING)

    def test_rotation_is_followed_without_bodies(self) -> None:
        """Fails if a process that is behind refuses new or trusts old keys."""
        later = bundle_samples.make_signing(2, "dan", "eva")
        first = bundle_samples.make_signed(1, "")
        second = bundle_samples.make_signed(2, first.head.digest, signing=later)
        record = bundle_samples.extend(
            bundle_samples.extend(None, first), second, later
        )
        third = bundle_samples.make_signed(
            3, second.head.digest, ("dan", "eva"), later
        )
        signatures.verify_record(
            bundle_samples.extend(record, third), bundle_samples.ANCHOR
        )
        revoked = bundle_samples.make_signed(
            3, second.head.digest, ("ann", "ben"), later
        )
        with self.assertRaises(errors.BundleSignatureError):
            signatures.verify_record(
                bundle_samples.extend(record, revoked), bundle_samples.ANCHOR
            )

    def test_altered_signers_are_refused(self) -> None:
        """Fails if whoever writes the store can put in signers of its own."""
        first = bundle_samples.make_signed(1, "")
        forged = bundle_samples.make_signing(1, "eve")
        second = bundle_samples.make_signed(2, first.head.digest, ("eve",))
        record = signatures.HeadRecord(
            second.head, (signatures.SigningChange(first.head, forged),)
        )
        with self.assertRaises(errors.BundleSignatureError):
            signatures.verify_record(record, bundle_samples.ANCHOR)

    def test_record_round_trip(self) -> None:
        """Fails if the head row can't be read back."""
        record = bundle_samples.extend(None, bundle_samples.make_signed(1, ""))
        text = signatures.encode_record(record)
        self.assertEqual(signatures.decode_record(text), record)
        for wrong in ("", "[]", "{}", text[:-2], '{"head": 1, "changes": []}'):
            with self.assertRaises(errors.BundleSignatureError):
                signatures.decode_record(wrong)
