"""Guards against result codes that differ between the code and the docs."""

import re
from pathlib import Path

from flamingoway.status import Code, code_rows

CODES_PAGE = Path(__file__).parent.parent / "docs" / "codes.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (\w+) \| (\d+) \| (\d+) \|", re.M)


def test_the_page_lists_every_code():
    listed = [
        (int(number), name, ran, int(http), int(exit_code))
        for number, name, ran, http, exit_code in ROW.findall(CODES_PAGE.read_text())
    ]
    expected = [
        (int(row.code), row.code.name, row.ran, row.http_status, row.exit_code)
        for row in code_rows()
    ]
    assert listed == expected


def test_only_refusals_and_caller_errors_are_not_run():
    for code in Code:
        assert (code.ran == "no") == (code // 1000 in (2, 4))
