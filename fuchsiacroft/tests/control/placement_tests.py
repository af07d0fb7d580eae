"""Tests of the placement of models on engines."""

from fuchsiacroft.config.document import ServiceSpec
from fuchsiacroft.control.placement import Engine, Placement, target_copies
from fuchsiacroft.tests.base import TestCase


def model(name, replicas=0):
    return ServiceSpec(name=name, kind="model", replicas=replicas)


def engine(number, *models, domain="a", leaving=False):
    return Engine(
        f"gpu-{number}",
        "b",
        f"10.0.0.{number}:1",
        domain,
        frozenset(models),
        leaving=leaving,
    )


def steps(specs, engines, demand=None, *, loading=None, busy=(), limit=10):
    placement = Placement(specs, demand or {}, engines, busy)
    return [
        (step.engine.name, step.action, step.model)
        for step in placement.steps(loading or {}, limit)
    ]


class TargetsTests(TestCase):
    """Models get one copy each, then their replicas, then copies by demand."""

    def test_replicas_are_assigned_round_robin(self):
        specs = [model("a", 5), model("b", 2)]
        self.assertEqual({"a": 2, "b": 1}, target_copies(specs, {}, 3))

    def test_remaining_engines_go_to_the_highest_demand_per_copy(self):
        specs = [model("a", 1), model("b", 1)]
        self.assertEqual({"a": 5, "b": 3}, target_copies(specs, {"a": 50, "b": 30}, 8))

    def test_plain_services_need_no_engine(self):
        plain = ServiceSpec(name="tiles", kind="plain", replicas=3)
        self.assertEqual({"a": 1}, target_copies([model("a"), plain], {}, 4))


class PlacementTests(TestCase):
    """Steps converge to the targets and never unload the last copy."""

    def test_a_missing_model_is_loaded_on_a_free_engine(self):
        found = steps([model("a")], [engine(1), engine(2, "b")])
        self.assertEqual([("gpu-1", "load", "a")], found)

    def test_copies_spread_over_failure_domains(self):
        engines = [engine(1, "a"), engine(2), engine(3, domain="b")]
        self.assertEqual([("gpu-3", "load", "a")], steps([model("a", 2)], engines))

    def test_copies_being_loaded_count(self):
        engines = [engine(1), engine(2)]
        self.assertEqual([], steps([model("a")], engines, loading={"a": 1}))

    def test_a_model_above_its_target_gives_a_copy_to_one_without(self):
        engines = [engine(1, "a"), engine(2, "a")]
        found = steps([model("a"), model("b")], engines)
        self.assertEqual([("gpu-1", "unload", "a")], found)

    def test_the_last_copy_is_never_unloaded(self):
        engines = [engine(1, "a"), engine(2, "b")]
        specs = [model("c", 2), model("a"), model("b")]
        demand = {"a": 0, "b": 0, "c": 100}
        self.assertEqual([], steps(specs, engines, demand))

    def test_a_copy_on_a_leaving_engine_does_not_count(self):
        engines = [engine(1, "a"), engine(2, "a", leaving=True)]
        self.assertEqual([], steps([model("a"), model("b")], engines))

    def test_two_steps_never_unload_both_copies(self):
        engines = [engine(1, "a"), engine(2, "a")]
        specs = [model("b"), model("c"), model("a")]
        found = steps(specs, engines)
        self.assertEqual(1, sum(action == "unload" for _, action, _ in found))

    def test_a_model_removed_from_the_document_is_unloaded(self):
        self.assertEqual(
            [("gpu-1", "unload", "old")], steps([model("a")], [engine(1, "old")])
        )

    def test_demand_moves_copies_only_past_the_hysteresis(self):
        engines = [engine(1, "a"), engine(2, "a"), engine(3, "a"), engine(4, "b")]
        specs = [model("a"), model("b")]
        self.assertEqual([], steps(specs, engines, {"a": 18, "b": 13}))
        found = steps(specs, engines, {"a": 4, "b": 40})
        self.assertIn(("gpu-1", "unload", "a"), found)

    def test_placement_converges(self):
        held = {i: set() for i in range(1, 10)}
        specs = [model("a", 2), model("b", 1), model("c", 1)]
        demand = {"a": 10, "b": 30, "c": 5}
        for _ in range(40):
            engines = [engine(i, *models) for i, models in held.items()]
            found = steps(specs, engines, demand, limit=2)
            if not found:
                break
            for name, action, model_name in found:
                models = held[int(name.removeprefix("gpu-"))]
                models.add(model_name) if action == "load" else models.discard(
                    model_name
                )
        self.assertEqual([], found)
        counts = [sum(name in models for models in held.values()) for name in "abc"]
        self.assertEqual([2, 6, 1], counts)

    def test_busy_engines_and_the_step_limit_are_respected(self):
        engines = [engine(1), engine(2), engine(3)]
        found = steps([model("a", 3)], engines, busy={"gpu-1"}, limit=1)
        self.assertEqual([("gpu-2", "load", "a")], found)
