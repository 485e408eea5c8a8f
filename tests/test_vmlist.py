"""VM list: changes, failed polls and departed entry processes."""

import asyncio

import msgspec
import tornado.httpserver
import tornado.netutil

from flamingoway.vmlist import Vm, VmList, VmListing
from standins.vmlist import VmState, make_application
from tests.owner_bench import make_context

VM = {
    "id": "w1",
    "role": "worker",
    "ip": "127.0.0.1",
    "port": 7000,
    "region": "r",
    "zone": "z1",
    "cores": 1.5,
    "memory_mb": 64,
}


def context_for(port):
    context = make_context()
    vm_list = msgspec.structs.replace(
        context.settings.vm_list, url=f"http://127.0.0.1:{port}/vms"
    )
    context.settings = msgspec.structs.replace(context.settings, vm_list=vm_list)
    return context


async def poll_changes():
    state = VmState([VM], lag_s=0)
    server = tornado.httpserver.HTTPServer(make_application(state))
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    vms = VmList(context_for(sockets[0].getsockname()[1]))
    queue = vms.subscribe()
    await vms.poll()
    assert vms.vms["w1"].worker_info.capacity.cores_milli == 1500
    assert queue.get_nowait().version == 1
    await vms.poll()
    assert queue.empty()
    state.change([{**VM, "state": "leaving"}])
    await asyncio.sleep(0.01)
    await vms.poll()
    assert vms.vms["w1"].state == "leaving"
    state.change([{"id": "broken"}])
    await asyncio.sleep(0.01)
    for _ in range(2):
        await vms.poll()
        assert vms.vms["w1"].state == "leaving"
    server.stop()
    await server.close_all_connections()
    await vms.poll()
    assert vms.vms["w1"].state == "leaving"


def test_subscribers_get_changes_and_failures_keep_the_last_known_list():
    asyncio.run(poll_changes())


def test_an_entry_process_counts_as_departed_until_it_is_listed_again():
    """Guards against missing or wrong evidence that a former owner has ended."""
    vms = VmList(context_for(1))
    entry = Vm("e1", "entry", "10.0.0.1", 8081, "r", "z1")
    worker = Vm("w1", "worker", "10.0.0.2", 7000, "r", "z1")
    vms.accept(VmListing(1, [entry, worker]))
    assert vms.departed_entry_addresses == set()
    vms.accept(VmListing(2, [worker]))
    assert vms.departed_entry_addresses == {"10.0.0.1:8081"}
    vms.accept(VmListing(3, [entry, worker]))
    assert vms.departed_entry_addresses == set()


def test_an_empty_list_marks_no_entry_process_as_departed():
    """Guards against a faulty list that would release the tasks of every shard."""
    vms = VmList(context_for(1))
    entry = Vm("e1", "entry", "10.0.0.1", 8081, "r", "z1")
    vms.accept(VmListing(1, [entry]))
    vms.accept(VmListing(2, []))
    assert vms.departed_entry_addresses == set()
