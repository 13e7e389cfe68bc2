"""Parse JSON with comments and validate it against a model."""

from pathlib import Path
import re
from typing import TypeVar

import json5
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from hickorywing.findings import Finding

__all__ = ["Model", "check_model", "load_document", "parse_document"]

ModelT = TypeVar("ModelT", bound=BaseModel)

_LINE = re.compile(r":(\d+)\s+(.*)")


class Model(BaseModel):
    """Base class of input models; unknown keys are findings."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def load_document(
    path: Path, model: type[ModelT]
) -> Result[ModelT, tuple[Finding, ...]]:
    """Read and check a file; an unreadable file is a finding."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), f"cannot be read: {error}"),))
    return parse_document(text, model, str(path))


def parse_document(
    text: str, model: type[ModelT], source: str = ""
) -> Result[ModelT, tuple[Finding, ...]]:
    """Parse JSON with comments and check it against a model.

    ``source`` names the document in findings.
    """
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Failure((_describe_syntax(str(error), source),))
    return check_model(data, model, source)


def _describe_syntax(message: str, source: str) -> Finding:
    found = _LINE.search(message)
    if found is None:
        return Finding(source or "document", message, "JSON with comments")
    place = f"{source or 'document'}:{found.group(1)}"
    return Finding(place, found.group(2), "JSON with comments")


def check_model(
    data: object, model: type[ModelT], source: str = ""
) -> Result[ModelT, tuple[Finding, ...]]:
    """Check plain data against a model; return every finding."""
    try:
        return Success(model.model_validate(data))
    except ValidationError as error:
        return Failure(
            tuple(
                Finding(_place(item["loc"], source), item["msg"])
                for item in error.errors()
            )
        )


def _place(location: tuple[int | str, ...], source: str) -> str:
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return f"{source}: {path}" if source else path or "document"
