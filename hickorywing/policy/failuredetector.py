"""Decide which entries are gone for good.

The entry on a VM that is replaced never returns, and while it counts as a
candidate, no other process can exclude that it has taken the role. An entry
that only restarts or is unreachable for a moment is not gone. If most entries
don't answer, none counts as gone, as the process that asks is probably cut off
itself.
"""

from collections.abc import Collection

__all__ = ["EntryFailureDetector"]

# Longer than a restart within its grace period.
MAX_SILENCE_S = 6.0


class EntryFailureDetector:
    """Detects entries that are gone by when they last answered."""

    def __init__(self) -> None:
        self._last_answer_s: dict[str, float] = {}

    def record_round(
        self, asked: Collection[str], answered: Collection[str], now_s: float
    ) -> list[str]:
        """Record one round of probes; return the entries that are gone.

        Entries that are not asked any more are forgotten.
        """
        for name in asked:
            if name in answered:
                self._last_answer_s[name] = now_s
            else:
                self._last_answer_s.setdefault(name, now_s)
        for name in self._last_answer_s.keys() - set(asked):
            del self._last_answer_s[name]
        if 2 * len(answered) <= len(asked):
            return []
        return [
            name
            for name, last_answer_s in self._last_answer_s.items()
            if now_s - last_answer_s >= MAX_SILENCE_S
        ]
