"""Decide which entries are gone for good.

Answers VMs that are replaced: the entry on one never comes back, and as long
as it counts as a candidate nobody can say that it has not taken the role. One
that is only restarted, or cut off for a moment, is left alone, and so are all
if most are silent: then the one that asks is cut off.
"""

from collections.abc import Collection

__all__ = ["Absences"]

# Longer than a restart within its grace time.
GONE_AFTER_S = 6.0


class Absences:
    """Remembers when each entry last answered."""

    def __init__(self) -> None:
        self._heard_s: dict[str, float] = {}

    def find_gone(
        self, asked: Collection[str], answered: Collection[str], now_s: float
    ) -> list[str]:
        """Take in a round of questions; return which entries are gone."""
        for name in asked:
            if name in answered:
                self._heard_s[name] = now_s
            else:
                self._heard_s.setdefault(name, now_s)
        for name in self._heard_s.keys() - set(asked):
            del self._heard_s[name]
        if 2 * len(answered) <= len(asked):
            return []
        return [
            name
            for name, heard_s in self._heard_s.items()
            if now_s - heard_s >= GONE_AFTER_S
        ]
