"""Decoding of YAML files into validated models, with line numbers in errors."""

import re
from typing import Any, TypeVar

import msgspec
import yaml

from .errors import FlamingowayError

T = TypeVar("T")

PATH_PATTERN = re.compile(r"`\$(.*)`")
STEP_PATTERN = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `([^`]+)`")


def decode(data: bytes, model: type[T], error: type[FlamingowayError], path: str) -> T:
    """Decode YAML bytes into ``model``.

    Args:
        data: Content of the file.
        model: Type to validate against.
        error: Error class to raise.
        path: File name used in messages.

    Raises:
        FlamingowayError: Of class ``error``, with ``file``, ``line`` (from 1) and
            ``field`` in its details.
    """
    node = _compose(data, error, path)
    try:
        plain = yaml.safe_load(data)
        return msgspec.convert(plain, model)
    except msgspec.ValidationError as exc:
        raise _with_line(str(exc), node, error, path) from None
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        raise error(f"{path}: {exc}", file=path, line=1, field="") from None


def _compose(data: bytes, error: type[FlamingowayError], path: str) -> yaml.Node:
    try:
        node = yaml.compose(data, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        raise error(
            f"{path}:{line}: {exc.problem}", file=path, line=line, field=""
        ) from None
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        raise error(f"{path}: {exc}", file=path, line=1, field="") from None
    if node is None:
        raise error(f"{path}:1: the file is empty", file=path, line=1, field="")
    return node


def _with_line(
    message: str, node: yaml.Node, error: type[FlamingowayError], path: str
) -> FlamingowayError:
    match = PATH_PATTERN.search(message)
    steps = STEP_PATTERN.findall(match.group(1)) if match else []
    unknown = UNKNOWN_FIELD_PATTERN.search(message)
    if unknown:
        steps.append((unknown.group(1), ""))
    line = find_line(node, [name or index for name, index in steps])
    field = "".join(f".{name}" if name else f"[{index}]" for name, index in steps)
    field = field.lstrip(".")
    text = message.split(" - at ")[0]
    return error(
        f"{path}:{line}: {field or 'document'}: {text}",
        file=path,
        line=line,
        field=field,
    )


def find_line(node: yaml.Node, steps: list[Any]) -> int:
    """Return the line (from 1) of the node that ``steps`` lead to.

    Stops at the last node that exists, so that a missing field is reported at
    its parent.
    """
    line = node.start_mark.line + 1
    for step in steps:
        child = _child(node, step)
        if child is None:
            break
        line, node = child
    return line


def _child(node: yaml.Node, step: Any) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(step):
                return key.start_mark.line + 1, value
    if isinstance(node, yaml.SequenceNode) and str(step).isdigit():
        index = int(step)
        if index < len(node.value):
            return node.value[index].start_mark.line + 1, node.value[index]
    return None
