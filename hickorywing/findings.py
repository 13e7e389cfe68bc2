"""Define findings, the errors in a document with their places."""

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.errors import UserError

__all__ = ["Finding", "FindingsError"]


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in a document.

    ``place`` is a file with a line, or a key path such as ``workers[3].rack``.
    """

    place: str
    problem: str
    expected: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.problem}"
        return f"{text}; expected {self.expected}" if self.expected else text


class FindingsError(UserError):
    """Reports all findings of a document at once."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("\n".join(str(item) for item in self.findings))
