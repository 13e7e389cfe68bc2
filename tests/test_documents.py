"""Tests of documents, findings, the table and messages."""

from pathlib import Path

from hypothesis import given
from hypothesis import strategies
from protocolfake import History
from protocolfake import ZoneOutage
import pytest
from returns.result import Failure
from virtual import run_virtual

from hickorywing.configstore import ConfigurationStore
from hickorywing.documents import load_document
from hickorywing.documents import parse_document
from hickorywing.errors import InvariantViolation
from hickorywing.filechecks import check_files
from hickorywing.inventory import check_inventory
from hickorywing.inventory import InventoryModel
from hickorywing.messages import decode_message
from hickorywing.rules import check_rules
from hickorywing.rules import RulesModel
from hickorywing.settings import AgentSettings
from hickorywing.settings import EntrySettings
from hickorywing.standins.tables import MemoryTable
from hickorywing.table import Check
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import new_nonce
from hickorywing.table import Refused
from hickorywing.table import Transaction
from hickorywing.table import Write

ROOT = Path(__file__).parent.parent


def put(key: str, value: object, version: int) -> Transaction:
    return Transaction([Check(key, version)], [Write(key, value)], new_nonce())


class TestDocuments:
    def test_syntax_errors_have_a_line(self):
        found = parse_document('{\n "a": \n}', InventoryModel, "f.jsonc")
        assert found.failure()[0].place == "f.jsonc:3"

    def test_unknown_keys_are_findings(self):
        found = parse_document('{"regions": [], "x": 1}', InventoryModel)
        assert "x" in found.failure()[0].place

    def test_shipped_files_pass(self):
        defaults = ROOT / "hickorywing" / "defaults"
        for name, model in (
            ("entry", EntrySettings),
            ("agent", AgentSettings),
        ):
            loaded = load_document(defaults / f"{name}.jsonc", model)
            assert not isinstance(loaded, Failure)
        for name in ("cooperative", "waarborgwerk"):
            folder = ROOT / "examples" / name
            assert check_files(sorted(folder.iterdir())) == []

    @given(strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["regions", "workers", "id", "zones"]),
            inner,
            max_size=3,
        ),
        max_leaves=12,
    ))  # fmt: skip
    def test_any_document_gets_findings_not_a_crash(self, data):
        check_inventory(data)

    def test_guarantees_that_do_not_fit_name_customer_and_shape(self):
        inventory = InventoryModel.model_validate(
            {
                "regions": [{"name": "r", "zones": ["a"]}],
                "workers": [
                    {"id": "w", "zone": "a", "rack": "k", "accelerators": 6,
                     "cores": 8, "memory_gb": 8}
                ],
            }
        )  # fmt: skip
        rules = {
            "customers": [{"name": "north"}],
            "guarantees": [
                {"customer": "north", "accelerators": 4, "count": 2}
            ],
        }
        [finding] = check_rules(rules, inventory).failure()
        assert "north" in finding.problem
        assert "1 of 2 cells of 4" in finding.problem


class TestTable:
    def test_a_lost_answer_is_recognised(self):
        async def work() -> None:
            table = MemoryTable()
            table.faults.lose_answers = 1
            answer = await commit_until_known(table, put("k", 1, 0), 5.0)
            assert isinstance(answer, Committed)
            assert table.rows["k"].version == answer.version == 1

        run_virtual(work())

    def test_anothers_write_is_a_conflict(self):
        async def work() -> None:
            table = MemoryTable()
            await table.commit(put("k", 1, 0))
            answer = await commit_until_known(table, put("k", 2, 0), 5.0)
            assert isinstance(answer, Conflict)
            table.faults.down = True
            answer = await commit_until_known(table, put("k", 2, 1), 5.0)
            assert isinstance(answer, Refused)

        run_virtual(work())

    def test_racing_operators_have_one_winner(self):
        async def work() -> None:
            store = ConfigurationStore(MemoryTable())
            base = await store.read_head()
            first = await store.set_zone(base, "a", False)
            second = await store.set_draining(base, "x", True)
            assert (first.accepted, second.accepted) == (True, False)
            assert (await store.read_head()).head == first.head

        run_virtual(work())


class TestMessages:
    @given(strategies.binary(max_size=200))
    def test_malformed_frames_are_values(self, frame):
        decode_message(frame)

    def test_an_empty_token_has_no_owner(self):
        rules = RulesModel.model_validate({"customers": [{"name": "n"}]})
        assert rules.find_customer("") is None


class TestHistory:
    """The checker must reject histories that violate an invariant."""

    def test_versions_that_go_back(self):
        history = History()
        history.record_version("p", 2)
        with pytest.raises(InvariantViolation):
            history.record_version("p", 1)

    def test_two_terminal_states(self):
        history = History()
        history.record_terminal("j", "done")
        with pytest.raises(InvariantViolation):
            history.record_terminal("j", "failed")

    def test_late_starts_overlaps_and_broken_gangs(self):
        from protocolfake import FakeWorker

        from hickorywing.zoneworker import TaskLaunch

        history = History()
        history.gangs["j"] = 2
        worker = FakeWorker("w", "a", history)
        first = TaskLaunch("j/1/0", "j", 1, 0, 9.0, 0.0)
        history.record_start(worker, first, 1.0)
        with pytest.raises(InvariantViolation):
            history.record_start(worker, first, 1.0)
        other = TaskLaunch("j/2/0", "j", 2, 0, 9.0, 0.0)
        with pytest.raises(InvariantViolation):
            history.record_start(worker, other, 2.0)
        with pytest.raises(InvariantViolation):
            history.check_gangs(100.0)
        history.zones_out.append(ZoneOutage("a", 10.0))
        late = TaskLaunch("k/1/0", "k", 1, 0, 9.0, 0.0)
        with pytest.raises(InvariantViolation):
            history.record_start(worker, late, 13.1)
