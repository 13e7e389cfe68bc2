"""Tests that drive the coordination state machines directly."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from hickorywing.errors import InvariantViolation
from hickorywing.policy.claims import Admission
from hickorywing.policy.claims import AdmissionLog
from hickorywing.policy.claims import ArrivalAnswer
from hickorywing.policy.claims import ClaimBook
from hickorywing.policy.claims import DispatchResult
from hickorywing.policy.gang import GangActionKind
from hickorywing.policy.gang import GangPhase
from hickorywing.policy.gang import GangStart
from hickorywing.policy.gang import STOP_TIMEOUT_S
from hickorywing.policy.lease import LEASE_TTL_S
from hickorywing.policy.lease import LeaseHolder
from hickorywing.policy.lease import LeaseRow
from hickorywing.policy.membership import Membership
from hickorywing.policy.membership import Presence
from hickorywing.policy.permit import MemberPermit
from hickorywing.policy.permit import PermitAnswer
from hickorywing.policy.permit import TASK_LEASE_S
from hickorywing.policy.register import ConfigurationHead
from hickorywing.policy.register import ConfigurationRegister
from hickorywing.policy.register import confirmation_wait_s
from hickorywing.policy.register import CONFIRMED_FOR_S
from hickorywing.zoneworker import WORKER_LEASE_S

MAX_START_DELAY_S = 3.0
WORKER_CALL_S = 1.0
ONE_SLOT = frozenset([0])


def make_permit(confirmed_at: float = 0.0) -> MemberPermit:
    register = ConfigurationRegister()
    register.adopt(ConfigurationHead(1), confirmed_at)
    return MemberPermit("a", register)


class TestLease:
    def test_takeover_needs_a_whole_ttl_without_a_write(self):
        candidate = LeaseHolder("b")
        candidate.observe(LeaseRow("a", 3, 10), 0.0)
        assert candidate.next_write(LEASE_TTL_S - 0.1) is None
        candidate.observe(LeaseRow("a", 3, 11), LEASE_TTL_S - 0.1)
        assert candidate.next_write(LEASE_TTL_S + 1.0) is None
        write = candidate.next_write(2 * LEASE_TTL_S)
        assert (write.epoch, write.expected_version) == (4, 11)

    def test_lease_runs_from_the_time_of_sending(self):
        holder = LeaseHolder("a")
        holder.observe(LeaseRow(None, 0, 0), 0.0)
        write = holder.next_write(1.0)
        holder.written(write, 5)
        assert holder.holds(1.0 + LEASE_TTL_S - 0.01)
        assert not holder.holds(1.0 + LEASE_TTL_S)

    @settings(max_examples=200, deadline=None)
    @given(strategies.integers(0, 2**32))
    def test_two_holders_never_at_once(self, seed):
        source = random.Random(seed)
        row = LeaseRow(None, 0, 0)
        names = ("a", "b", "c")
        holders = {name: LeaseHolder(name) for name in names}
        skew = {name: source.uniform(0, 1000) for name in names}
        frozen = dict.fromkeys(names, 0.0)
        now = 0.0
        for _ in range(400):
            now += source.uniform(0.05, 1.5)
            name = source.choice(names)
            if now < frozen[name]:
                continue
            if source.random() < 0.03:
                frozen[name] = now + source.uniform(0, 20)
            holder = holders[name]
            local = now + skew[name]
            holder.observe(row, local)
            write = holder.next_write(local)
            if write is not None and source.random() < 0.9:
                if write.expected_version == row.version:
                    row = LeaseRow(name, write.epoch, row.version + 1)
                    if source.random() < 0.8:
                        holder.written(write, row.version)
                    else:
                        holder.refused(local)
                else:
                    holder.refused(local)
            held = [n for n in names if holders[n].holds(now + skew[n])]
            assert len(held) <= 1


class TestRegister:
    def test_never_goes_back(self):
        register = ConfigurationRegister()
        assert register.adopt(ConfigurationHead(5), 1.0)
        assert not register.adopt(ConfigurationHead(4), 9.0)
        assert register.head.version == 5
        assert register.confirmed_ago(2.0) == 1.0

    def test_two_heads_of_one_version_are_a_violation(self):
        register = ConfigurationRegister()
        register.adopt(ConfigurationHead(5), 1.0)
        with pytest.raises(InvariantViolation):
            register.adopt(ConfigurationHead(5, frozenset("a")), 1.0)

    def test_silent_process_starts_nothing_past_the_bound(self):
        register = ConfigurationRegister()
        register.adopt(ConfigurationHead(1), 0.0)
        committed_after = 0.0
        accepted = committed_after + confirmation_wait_s()
        last_check = CONFIRMED_FOR_S
        assert register.allows_start("a", last_check)
        assert not register.allows_start("a", last_check + 0.001)
        assert last_check + WORKER_CALL_S <= accepted + MAX_START_DELAY_S


class TestPermit:
    def test_start_needs_a_confirmed_configuration(self):
        permit = make_permit()
        permit.prepare("j", 1, 1, ONE_SLOT, 0.0)
        late = CONFIRMED_FOR_S + 0.1
        assert permit.start("j", 1, 1, late) is PermitAnswer.UNCONFIRMED

    def test_start_is_refused_in_a_zone_known_to_be_out(self):
        permit = make_permit()
        permit.prepare("j", 1, 1, ONE_SLOT, 0.0)
        permit.register.adopt(ConfigurationHead(2, frozenset("a")), 0.5)
        assert permit.start("j", 1, 1, 0.6) is PermitAnswer.ZONE_OUT

    def test_older_epochs_and_attempts_are_refused(self):
        permit = make_permit()
        permit.prepare("j", 2, 5, ONE_SLOT, 0.0)
        assert permit.start("j", 2, 4, 0.1) is PermitAnswer.STALE_EPOCH
        stale = permit.prepare("j", 1, 5, ONE_SLOT, 0.1)
        assert stale is PermitAnswer.STALE_ATTEMPT

    def test_a_stop_overtakes_its_prepare(self):
        permit = make_permit()
        permit.stop("j", 3, 1)
        late = permit.prepare("j", 3, 1, ONE_SLOT, 0.0)
        assert late is PermitAnswer.STALE_ATTEMPT

    def test_one_slot_has_one_holder(self):
        permit = make_permit()
        permit.prepare("j", 1, 1, ONE_SLOT, 0.0)
        answer = permit.prepare("k", 1, 1, ONE_SLOT, 0.0)
        assert answer is PermitAnswer.OVERLAP

    def test_lease_runs_from_the_renewal_request(self):
        permit = make_permit()
        permit.prepare("j", 1, 1, ONE_SLOT, 0.0)
        permit.start("j", 1, 1, 0.0)
        permit.renew("j", 1, 1, 5.0)
        assert not permit.lapsed(5.0 + TASK_LEASE_S - 0.1)
        assert permit.lapsed(5.0 + TASK_LEASE_S)[0].job_id == "j"

    def test_leases_end_before_members_count_as_lost(self):
        silence = Membership().lost_after_s
        stopped_by = TASK_LEASE_S + WORKER_LEASE_S
        assert silence > stopped_by
        assert stopped_by < STOP_TIMEOUT_S


class TestGang:
    def make(self) -> GangStart:
        gang = GangStart("j", 1, ("a", "b"), 0.0)
        assert len(gang.poll(0.0)) == 2
        return gang

    def test_commit_only_when_all_are_prepared(self):
        gang = self.make()
        assert gang.prepared("a", 0.1) == []
        assert gang.prepared("a", 0.1) == []
        [commit] = gang.prepared("b", 0.2)
        assert commit.kind is GangActionKind.COMMIT_STARTED
        gang.commit_answered(True, 0.3)
        kinds = {action.kind for action in gang.poll(0.3)}
        assert kinds == {GangActionKind.START}

    def test_a_refusal_stops_every_member(self):
        gang = self.make()
        gang.prepared("a", 0.1)
        gang.refused("b", "zone out", 0.2)
        stops = gang.poll(0.2)
        assert {action.worker for action in stops} == {"a", "b"}
        assert {a.kind for a in stops} == {GangActionKind.STOP}

    def test_an_uncommitted_start_starts_nobody(self):
        gang = self.make()
        gang.prepared("a", 0.1)
        gang.prepared("b", 0.1)
        gang.commit_answered(False, 0.2)
        assert gang.phase is GangPhase.STOPPING

    def test_silence_ends_in_a_stop(self):
        gang = self.make()
        gang.prepared("a", 0.1)
        gang.poll(10.0)
        assert gang.phase is GangPhase.STOPPING

    def test_a_member_lost_stops_the_others(self):
        gang = self.make()
        gang.prepared("a", 0.1)
        gang.prepared("b", 0.1)
        gang.commit_answered(True, 0.2)
        gang.started("a", 0.3)
        gang.started("b", 0.3)
        gang.worker_lost("b", 40.0)
        assert [a.worker for a in gang.poll(40.0)] == ["a"]
        gang.member_stopped("a", 12.0, 41.0)
        [ended] = gang.poll(41.0)
        assert ended.kind is GangActionKind.ENDED
        assert gang.kept_s == 12.0

    def test_it_ends_when_all_are_done(self):
        gang = GangStart.adopt("j", 1, ("a", "b"), 0.0)
        gang.member_done("a", 0.1)
        actions = gang.member_done("b", 0.2)
        kinds = [action.kind for action in actions]
        assert kinds == [GangActionKind.RUNNING, GangActionKind.ENDED]


class TestClaims:
    def test_only_a_definite_refusal_frees_the_key(self):
        book = ClaimBook("e1")
        claim = book.arrive(None, "f").record
        expected = {
            DispatchResult.DONE: ArrivalAnswer.REPLAY,
            DispatchResult.UNKNOWN: ArrivalAnswer.OUTCOME_UNKNOWN,
            DispatchResult.NOT_RUN: ArrivalAnswer.CLAIM,
        }
        for result, answer in expected.items():
            settled = book.settle(claim, result)
            assert book.arrive(settled, "f").answer is answer
        busy = book.arrive(claim, "f").answer
        assert busy is ArrivalAnswer.IN_PROGRESS
        other = book.arrive(claim, "g").answer
        assert other is ArrivalAnswer.KEY_REUSED

    def test_a_dispatch_is_admitted_once(self):
        admissions = AdmissionLog(7, 2, 1)
        assert admissions.admit("d", 7) is Admission.ADMITTED
        assert admissions.admit("d", 7) is Admission.DUPLICATE
        assert admissions.admit("e", 6) is Admission.WRONG_INCARNATION
        assert admissions.revoke("d", 7) is Admission.DUPLICATE
        assert admissions.revoke("f", 7) is Admission.REVOKED
        assert admissions.admit("f", 7) is Admission.REVOKED
        assert admissions.admit("g", 7) is Admission.ADMITTED
        assert admissions.admit("h", 7) is Admission.FULL

    def test_leaving_admits_nothing(self):
        admissions = AdmissionLog(7, 2, 1)
        admissions.leaving = True
        assert admissions.admit("d", 7) is Admission.LEAVING


class TestMembership:
    def test_silence_and_return(self):
        members = Membership()
        members.heard("a", "z", 1, False, 0.0)
        [suspect] = members.expire(3.0)
        assert suspect.presence is Presence.SUSPECT
        assert not members.takes_work("a")
        assert members.heard("a", "z", 1, False, 3.5) is Presence.ACTIVE
        [lost] = members.expire(3.5 + members.lost_after_s + 0.1)
        assert lost.presence is Presence.LOST

    def test_older_incarnations_are_ignored(self):
        members = Membership()
        members.heard("a", "z", 2, False, 0.0)
        assert members.heard("a", "z", 1, True, 1.0) is None
        assert members.takes_work("a")

    def test_leaving_is_final_for_an_incarnation(self):
        members = Membership()
        members.heard("a", "z", 2, True, 0.0)
        members.heard("a", "z", 2, False, 1.0)
        assert not members.takes_work("a")
        assert members.heard("a", "z", 3, False, 2.0) is Presence.ACTIVE
        assert members.takes_work("a")
