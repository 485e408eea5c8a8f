"""Guards against a page of modules that does not match the code."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\| `([\w/]+\.py)` \| (.+) \|$", re.M)
LEFT_OUT = {"__init__.py", "proto/__init__.py"}


def purpose(path: Path) -> str:
    return (ast.get_docstring(ast.parse(path.read_text())) or "").split("\n")[0]


def test_the_page_names_every_module_with_its_purpose():
    package = ROOT / "flamingoway"
    expected = {
        str(path.relative_to(package)): purpose(path)
        for path in package.rglob("*.py")
        if not path.name.endswith(("_pb2.py", "_pb2_grpc.py"))
    }
    expected = {name: text for name, text in expected.items() if name not in LEFT_OUT}
    assert dict(ROW.findall((ROOT / "docs" / "modules.md").read_text())) == expected
