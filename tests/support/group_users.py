"""Simulated users of a group: claimants, concurrent operators, and watching gateways."""

from tests.support.hosts import Breach
from traystall.catalog.deltas import entities_digest, make_delta
from traystall.catalog.models import ApplyBundle, ApplyOutcome
from traystall.core.exceptions import DeltaMismatch
from traystall.core.serialization import digest
from traystall.evacuations.cache import to_wire
from traystall.evacuations.models import OrderEvacuation
from traystall.ledger.models import Claim, ClaimOutcome, LedgerOutcome, Release
from traystall.rpc.gen.wire.ttypes import WatchReply

KEYS = 3
PLACES = ("north", "south", "west")


class Users:
    """Claim, apply and watch; a mixin of `Group`, which holds the state."""

    def _claim_command(self, claim_id, key):
        return Claim("customer", key, b"f", claim_id, "gateway", "stage", 3600.0, self.time)

    def _claim(self):
        """Claim a key at the leader as a gateway, and dispatch only if the claim won."""
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        self.claims += 1
        claim_id = f"claim{self.claims}"
        key = f"key{self.random.randrange(KEYS)}"
        if self.random.random() < 0.5:
            # One of a few claims that are resent repeatedly, also long after they ended.
            claim_id = f"resent{self.random.randint(1, 4)}@{key}"
        command = self._claim_command(claim_id, key)
        host.propose(command, lambda result: self._claimed(host, key, claim_id, result))

    def _claimed(self, host, key, claim_id, result):
        if result.outcome is not ClaimOutcome.WON:
            return
        if claim_id in self.confirmed_releases:
            raise Breach(f"{claim_id} was released and won {key} again")
        if claim_id in self.released:
            return
        if self.random.random() < 0.3 and claim_id not in self.dispatched.values():
            # The run has provably not started: the claimant releases it and never dispatches it.
            self.released.add(claim_id)
            release = Release("customer", key, claim_id, self.time)
            host.propose(release, lambda outcome: self._on_released(claim_id, outcome))
            return
        self.dispatch(key, claim_id)

    def _on_released(self, claim_id, outcome):
        if outcome is LedgerOutcome.DONE:
            self.confirmed_releases.add(claim_id)

    def dispatch(self, key, claim_id):
        """Record a dispatch; the resend of a claim counts as the same dispatch."""
        holder = self.dispatched.setdefault(key, claim_id)
        if holder != claim_id:
            raise Breach(f"{key} was dispatched by {holder} and by {claim_id}")
        if claim_id in self.released:
            raise Breach(f"{key} was dispatched by the released {claim_id}")

    def _apply_bundle(self):
        """Apply bundles as two concurrent operators: equal numbers, different contents, resends."""
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        catalog = host.state.catalog
        number = max(1, catalog.number + self.random.choice((-1, 0, 1, 1)))
        operator = self.random.choice(("ana", "bao"))
        entities = dict(catalog.entities)
        entities[f"customer/{operator}{self.random.randrange(3)}"] = f"{number}".encode()
        delta = make_delta(catalog.entities, entities)
        content = digest(f"{number}{operator}".encode())
        command = ApplyBundle(number, content, operator, delta)
        host.propose(command, lambda result: self._applied(number, content, result))

    def _applied(self, number, content, result):
        if result.outcome is ApplyOutcome.ACCEPTED:
            winner = self.accepted.setdefault(number, content)
            if winner != content:
                raise Breach(f"number {number} was accepted with two contents")
        if result.outcome is ApplyOutcome.CONFLICT and self.accepted.get(number) == content:
            raise Breach(f"number {number} was accepted and then rejected")

    def _order_evacuation(self):
        """Evacuate and restore data centres at the leader, with concurrent orders and resends."""
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        data_centre, evacuated = self.random.choice(PLACES), self.random.random() < 0.5
        command = OrderEvacuation(data_centre, evacuated, "ana", self.time)
        host.propose(command, lambda result: self._evacuated(data_centre, evacuated, result))

    def _evacuated(self, data_centre, evacuated, result):
        """Check that an acknowledged order holds, and that its version never changes contents."""
        if (data_centre in result.places.data_centres) != evacuated:
            raise Breach(f"an order for {data_centre} was acknowledged and not carried out")
        self.record_evacuated(result.places)
        self.acknowledged = max(self.acknowledged, result.places.version)

    def record_evacuated(self, places):
        """Record the evacuated data centres at a version, as observed on any host."""
        known = self.evacuated.setdefault(places.version, places.data_centres)
        if known != places.data_centres:
            raise Breach(f"evacuations at version {places.version} have two contents")

    def _watch_evacuations(self):
        """Update a gateway's evacuations from any running host, however old its state."""
        host = self._any(lambda h: h.runs)
        if host is None:
            return
        held = self.random.choice(self.held_evacuations)
        before = held.version
        held.take(to_wire(host.state.evacuations.places))
        if held.version < before:
            raise Breach("a gateway went back to an earlier version of the evacuations")
        self.record_evacuated(held.places)

    def _watch(self):
        """Update a gateway's revision from any running host, however old its state."""
        host = self._any(lambda h: h.runs)
        held = self.random.choice(self.revisions)
        if host is None:
            return
        catalog = host.state.catalog
        delta = catalog.delta_since(held.digest)
        reply = WatchReply(number=catalog.number, digest=catalog.digest, base=held.digest)
        reply.full = delta is None
        reply.puts = catalog.entities if delta is None else delta.puts
        reply.deletes = [] if delta is None else delta.deletes
        before = held.number
        try:
            held.take(reply)
        except DeltaMismatch as error:
            raise Breach("a delta did not match its base") from error
        if held.number < before:
            raise Breach("a gateway went back to an earlier revision")
        known = self.digests.setdefault(held.number, held.digest)
        if known != held.digest or entities_digest(held.entities) != held.digest:
            raise Breach(f"number {held.number} is in force with two contents")
