"""Guards against log events and metrics that the operators' page misnames."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = "\n".join(
    path.read_text()
    for folder in ("queues", "platform")
    for path in (ROOT / "flamingoway" / folder).glob("*.py")
)


def test_every_event_of_the_example_lines_is_written():
    events = re.findall(r'"event":"([^"]+)"', PAGE)
    assert len(events) == 3
    for event in events:
        assert f'"{event}"' in SOURCES, event


def test_every_event_that_the_text_names_is_written():
    text = re.sub(r"\s+", " ", re.sub(r"```.*?```", "", PAGE, flags=re.S))
    named = re.findall(r"`([a-z]+(?: [a-z]+)+)`", text)
    assert len(set(named)) > 15
    for event in set(named):
        assert f'"{event}"' in SOURCES, event


def test_every_metric_is_served():
    for name in re.findall(r"`(flamingoway_queue_\w+)`", PAGE):
        assert f'"{name}"' in SOURCES, name
