"""Checks that log events and metrics named on the operations page exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = "\n".join(
    path.read_text()
    for folder in ("queues", "platform")
    for path in (ROOT / "flamingoway" / folder).glob("*.py")
)


def test_every_event_of_the_example_lines_exists():
    events = re.findall(r'"event":"([^"]+)"', PAGE)
    assert len(events) == 6
    for event in events:
        assert f'"{event}"' in SOURCES, event


def test_every_event_named_in_the_text_exists():
    text = re.sub(r"\s+", " ", re.sub(r"```.*?```", "", PAGE, flags=re.S))
    named = re.findall(r"`([a-z]+(?: [a-z]+)+)`", text)
    assert len(set(named)) > 15
    for event in set(named):
        assert f'"{event}"' in SOURCES, event


def test_every_metric_named_on_the_page_exists():
    for name in re.findall(r"`(flamingoway_queue_\w+)`", PAGE):
        assert f'"{name}"' in SOURCES, name
