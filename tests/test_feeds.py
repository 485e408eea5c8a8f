"""Feeds: when the VM list is passed on to the controller of a shard."""

from types import SimpleNamespace

import pytest

from flamingoway.controller import ShardController
from flamingoway.feeds import Feeds
from flamingoway.vmlist import Vm
from tests.owner_bench import FakeFeed, make_context

LINKED = SimpleNamespace(link=object())
UNLINKED = SimpleNamespace(link=None)


class RecordingController:
    """Counts the lists it receives; marks all of their workers as linked."""

    def __init__(self):
        self.lists = 0
        self.sessions = {}

    def has_missing_link(self, vms):
        fleet = SimpleNamespace(sessions=self.sessions)
        return ShardController.has_missing_link(SimpleNamespace(_fleet=fleet), vms)

    def on_vm_list(self, vms):
        self.lists += 1
        self.sessions.update({vm.id: LINKED for vm in vms})


def worker(name):
    return Vm(name, "worker", "127.0.0.1", 7000, region="r", zone="z1")


@pytest.mark.parametrize(
    ("sessions", "is_passed_on"),
    [
        ({"w1": LINKED}, False),
        ({}, True),
        ({"w1": UNLINKED}, True),
        ({"w1": LINKED, "unlisted": UNLINKED}, True),
    ],
)
def test_list_is_passed_on_only_while_a_link_is_missing(sessions, is_passed_on):
    """Guards against work for every worker each second, and against missing links."""
    controller = RecordingController()
    feeds = Feeds(make_context(), "s", controller, FakeFeed([worker("w1")]), FakeFeed())
    feeds.attach_workers()
    controller.lists = 0
    controller.sessions = sessions
    feeds.attach_workers()
    feeds.attach_workers()
    expected = 2 if "unlisted" in sessions else int(is_passed_on)
    assert controller.lists == expected


def test_a_changed_list_is_passed_on_without_a_notice():
    """Guards against a removed worker that stays in use after a missed notice."""
    controller = RecordingController()
    feed = FakeFeed([worker("w1"), worker("w2")])
    feeds = Feeds(make_context(), "s", controller, feed, FakeFeed())
    feeds.attach_workers()
    del feed.vms["w2"]
    feeds.attach_workers()
    feeds.attach_workers()
    assert controller.lists == 2
