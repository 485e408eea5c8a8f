"""Guards against invalid settings and documents accepted or reported imprecisely.

Each row replaces one text in a valid file and gives the field and a part of the
message that the error must contain; the line follows from the place of the change.
"""

from pathlib import Path

import pytest

from flamingoway.document import MAX_DOCUMENT_BYTES, parse_document
from flamingoway.errors import BadDocument, BadSettings
from flamingoway.settings import parse_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
SETTINGS = (EXAMPLES / "settings" / "node.yaml").read_text()
DOCUMENT = (EXAMPLES / "documents" / "kerbihan-planner.yaml").read_text()

INVALID_SETTINGS = [
    ("cell: main", "cell: Main", "cell", "found 'Main'; allowed: 1 to 63"),
    ("cell: main\n", "", "cell", "required"),
    ("cell: main", "cel: main", "cel", "unknown field; allowed: cell, process_id"),
    ("ip: 127.0.0.1", "ip: localhost", "ip", "an IPv4 address"),
    ("http_port: 8080", "http_port: 0", "http_port", "found 0; allowed: 1 to 65535"),
    ("http_port: 8080", "http_port: '8080'", "http_port", "found '8080'"),
    ("peer_port: 8081", "http_port: 8081", "http_port", "given twice"),
    ("zone: bzh-1\n", "zone: bzh-9\n", "zone", "allowed: bzh-1, bzh-2, bzh-3"),
    ("127.0.0.1:2379", "store:2379", "store.endpoint", "found 'store:2379'"),
    ("127.0.0.1:2379", "127.0.0.1:99999", "store.endpoint", "port 1 to 65535"),
    ("http://127", "ftp://127", "vm_list.url", "begins with http://"),
    ("name: andes,", "name: brittany,", "shards[1].name", "occurs once"),
    ("[and-1,", "[bzh-1,", "shards[1].zones[0]", "a zone of shards[0]"),
    ("[and-1, and-2, and-3, and-4]", "[]", "shards[1].zones", "one or more"),
    (
        "shards: [andes]",
        "shards: [ande]",
        "environments[2].shards[0]",
        "found 'ande'; allowed: andes, brittany",
    ),
    (
        "shards: [andes]",
        "shards: [andes, brittany]",
        "environments[2].shards",
        "one region",
    ),
    (
        "stage: production",
        "stage: prod",
        "environments[1].stage",
        "found 'prod'; allowed: production, trial",
    ),
    (
        "name: kerbihan-production",
        "name: kerbihan-trial",
        "environments[1].name",
        "the name of environments[0]",
    ),
    (
        "key_sha256: 5d9d",
        "key_sha256: 5D9D",
        "operators[0].key_sha256",
        "64 digits",
    ),
    ("operators:\n", "peers: [host:1]\noperators:\n", "peers[0]", "IPv4 address"),
    (
        "operators:\n",
        "limits: {task_lease_s: 5}\noperators:\n",
        "limits.task_lease_s",
        "above the report_interval_s of 5.0",
    ),
    (
        "operators:\n",
        "limits: {max_queue: 0}\noperators:\n",
        "limits.max_queue",
        "found 0; allowed: a number above 0",
    ),
    (
        "operators:\n",
        "limits: {grace_s: .nan}\noperators:\n",
        "limits.grace_s",
        "found nan",
    ),
    (
        "operators:\n",
        "trace: {sample_ratio: 2}\noperators:\n",
        "trace.sample_ratio",
        "found 2.0; allowed: 0.0 to 1.0",
    ),
    (
        "operators:\n",
        "trace: {exporter: jaeger}\noperators:\n",
        "trace.exporter",
        "allowed: log, none, otlp",
    ),
    (
        "operators:\n",
        "log: {level: loud}\noperators:\n",
        "log.level",
        "allowed: debug, error, info, warning",
    ),
]

INVALID_DOCUMENTS = [
    ("application: kerbihan-planner", "application: ''", "application", "found ''"),
    ("name: familles", "name: agency-brest", "members[3].name", "of members[0]"),
    ("name: familles", "name: Familles", "members[3].name", "lower-case"),
    ("name: familles", "name: 2026-12-04", "members[3].name", "expected `str`"),
    ("weight: 0.5", "weight: 0", "members[3].weight", "found 0.0; allowed"),
    ("weight: 0.5", "weight: -1", "members[3].weight", "a number above 0"),
    ("weight: 0.5", "weight: .inf", "members[3].weight", "found inf"),
    ("weight: 0.5", "weight: heavy", "members[3].weight", "found 'heavy'"),
    ("weight: 0.5", "wait: 0.5", "members[3].wait", "unknown field; allowed: name"),
    ("cores: 32", "cores: 0", "members[3].quota.cores", "0.001 cores or more"),
    (
        "memory_mb: 131072",
        "memory_mb: -5",
        "members[3].quota.memory_mb",
        "found -5; allowed: 1 megabyte",
    ),
    (
        "memory_mb: 131072",
        "accelerators: -1",
        "members[3].quota.accelerators",
        "0 or more",
    ),
    ("check_rate: 100", "check_rate: 0", "members[3].check_rate", "above 0"),
    ("path: /slot-check", "path: slot-check", "checks[0].path", "begins with /"),
    ("path: /slot-check", "path: /a b", "checks[0].path", "without spaces"),
    ("timeout_s: 2.0", "timeout_s: 0", "checks[0].timeout_s", "up to 300"),
    ("policy: batch", "policy: bulk", "jobs[0].policy", "allowed: batch, gang"),
    ("max_tasks: 8", "max_tasks: 0", "jobs[0].max_tasks", "1 to 1000"),
    ("max_tasks: 8", "max_tasks: 8.5", "jobs[0].max_tasks", "found 8.5"),
    ("run_time_s: 60", "run_time_s: -1", "jobs[0].run_time_s", "from 0 (unknown)"),
    ("run_time_s: 60", "max_attempts: 0", "jobs[0].max_attempts", "1 to 100"),
    ("name: inventory-sort", "name: fit-plan", "jobs[1].name", "occurs once"),
    ("name: planner", "name: fit-plan", "services[0].name", "the name of a job kind"),
    ("replicas: 3", "replicas: -1", "services[0].replicas", "0 to 1000"),
    ("replicas: 3", "replicas: three", "services[0].replicas", "found 'three'"),
    ("    replicas: 3\n", "", "services[0].replicas", "required"),
    ("checks:\n", "checks:\nchecks:\n", "checks", "given twice"),
    ("checks:\n", "checks: {\n", "", ""),
    ("checks:\n", "checks: !!python/name:os.system\n", "", ""),
    ("weight: 0.5", "weight: \t0.5\x07", "", "control characters"),
]


# Offset in lines from the changed text to the line that the error must name.
LINE_OFFSETS = {
    # A missing field is reported at its entry.
    "    replicas: 3\n": -1,
    "checks:\nchecks:\n": 1,
    # The parser detects the missing bracket only here.
    "checks: {\n": 2,
}


def change(text, old, new):
    """Return the changed text and the line that the error must name."""
    line = text[: text.index(old)].count("\n") + 1
    offset = LINE_OFFSETS.get(new or old, 0)
    return text.replace(old, new, 1).encode(), line + offset


def assert_error(error, path, line, field, message):
    details = error.details
    assert (details["file"], details["line"], details["field"]) == (path, line, field)
    prefix = f"{path}:{line}: {field}: " if field else f"{path}:{line}: "
    assert error.message.startswith(prefix)
    assert message in error.message


@pytest.mark.parametrize(("old", "new", "field", "message"), INVALID_SETTINGS)
def test_invalid_settings_are_reported(old, new, field, message):
    data, line = change(SETTINGS, old, new)
    with pytest.raises(BadSettings) as caught:
        parse_settings(data, "node.yaml")
    assert_error(caught.value, "node.yaml", line, field, message)


@pytest.mark.parametrize(("old", "new", "field", "message"), INVALID_DOCUMENTS)
def test_invalid_document_is_reported(old, new, field, message):
    data, line = change(DOCUMENT, old, new)
    with pytest.raises(BadDocument) as caught:
        parse_document(data, "planner.yaml")
    assert_error(caught.value, "planner.yaml", line, field, message)


@pytest.mark.parametrize(
    ("data", "line", "message"),
    [
        (b"", 1, "the file is empty"),
        (b"# only a comment\n", 1, "the file is empty"),
        (b"[]", 1, "expected `object`"),
        (b"application: x\nmembers: \xff", 2, "invalid"),
        (b"a: &a [*a]", 1, ""),
        (b"a: " + b"[" * 5000, 1, ""),
        (b"? [a]\n: b", 1, ""),
        (b"a: b\n---\na: b", 2, ""),
    ],
)
def test_malformed_file_is_refused(data, line, message):
    """Guards against exceptions other than BadDocument."""
    with pytest.raises(BadDocument) as caught:
        parse_document(data, "x.yaml")
    assert caught.value.details["line"] == line
    assert message in caught.value.message


def test_key_hash_is_not_shown():
    """Guards against messages or logs with a key that was entered as its hash."""
    old = DOCUMENT[DOCUMENT.index("      - ") + 8 :][:64]
    with pytest.raises(BadDocument) as caught:
        parse_document(DOCUMENT.replace(old, "secret-key").encode())
    assert "secret" not in caught.value.message
    assert caught.value.details["field"] == "members[0].key_sha256[0]"


def test_key_of_two_members_is_refused():
    """Guards against requests that are attributed to the wrong member."""
    first = DOCUMENT.index("      - ") + 8
    second = DOCUMENT.index("      - ", first) + 8
    copied = DOCUMENT[:second] + DOCUMENT[first : first + 64] + DOCUMENT[second + 64 :]
    with pytest.raises(BadDocument) as caught:
        parse_document(copied.encode())
    assert caught.value.details["field"] == "members[1].key_sha256[0]"


def test_too_large_document_is_refused():
    """Guards against a document that exceeds the size of a store value."""
    data = DOCUMENT.encode() + b"#" * MAX_DOCUMENT_BYTES
    with pytest.raises(BadDocument, match=f"allowed: {MAX_DOCUMENT_BYTES}"):
        parse_document(data)
