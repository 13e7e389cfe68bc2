"""Checks of the rules on what runners have seen."""

from review.rig3.system import System


def is_noted(system: System, runner: str, task: str, number: int) -> bool:
    """Return whether an end was taken note of, without a lapse before."""
    found = system.find_runner(runner)
    noted_s = found.acked_s.get((task, number))
    if noted_s is None:
        return False
    ended_s = max(
        at_s
        for at_s, event, name, run in found.history
        if (name, run) == (task, number) and event != "start"
    )
    return not any(ended_s <= at_s <= noted_s for at_s in found.lapses_s)


def find_double_runs(system: System) -> list[str]:
    """Return what breaks TWICE: overlaps, and starts after a noted end."""
    broken = []
    running: dict[str, dict[str, int]] = {}
    done: dict[str, tuple[str, int]] = {}
    for _, event, task, number, runner in system.list_history():
        present = running.setdefault(task, {})
        if event != "start":
            present.pop(runner, None)
            if event == "done":
                done.setdefault(task, (runner, number))
            continue
        if present:
            broken.append(
                f"TWICE: {task} run {number} was started at {runner} while"
                f" it runs at {', '.join(present)}"
            )
        if task in done and is_noted(
            system, *done[task][:1], task, done[task][1]
        ):
            where, earlier = done[task]
            broken.append(
                f"TWICE: {task} run {number} was started at {runner} after"
                f" run {earlier} had ended done at {where}, and that end"
                " was taken note of"
            )
        present[runner] = number
    return broken
