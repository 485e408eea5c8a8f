"""Faults of the soak test at site size: channels, processors, clocks and outages.

Each takes the ``Site``. What the checks excuse is what ``disturb`` records: a fault of
some machines names these, one of the store names ``core``.
"""

import asyncio
import functools
import signal

SLOW_PERIOD_S = 0.1
FAULTS = {}


def fault(function):
    """Register a fault under its name; it lasts until its coroutine ends."""
    FAULTS[function.__name__] = function
    return function


def names_of(entries):
    return [entry.name for entry in entries]


# Channels


def silence_store(site):
    for entry in site.entries:
        entry.server.silence()


def silence_peers(site):
    site.order_links("silence", names=names_of(site.entries))


def silence_workers(site):
    site.order("silence", sorted(site.listed))


@fault
async def silent_channels(site):
    """Open channels go silent permanently, at once; new ones work."""
    kinds = [silence_store, silence_peers, silence_workers]
    chosen = site.rng.choice([*([kind] for kind in kinds), kinds])
    kind = "silent_channels " + " ".join(silence.__name__ for silence in chosen)
    with site.disturb(kind, names_of(site.entries)):
        for silence in chosen:
            silence(site)
    await asyncio.sleep(4.0)


@fault
async def cut_peers(site):
    """Cut the calls between a group of processes and the rest, in series."""
    group = site.some_entries(site.rng.choice([0.03, 0.2, 0.5]))
    if site.rng.random() < 0.5 and site.leading() not in group:
        group[0] = site.leading()
    names = names_of(group)
    for _ in range(site.rng.choice([1, 1, 3])):
        ways = site.rng.choice([(True, True), (True, False), (False, True)])
        with site.disturb(f"cut_peers {ways}", names):
            site.order_links("cut", names=names, outward=ways[0], inward=ways[1])
            try:
                await asyncio.sleep(site.rng.uniform(1, 7))
            finally:
                site.order_links("cut", names=names, outward=False, inward=False)
        await asyncio.sleep(site.rng.uniform(0.2, 1.5))


# Processors


async def cut_processor(site, entry, share):
    """Let a process run for a share of each tenth of a second, until cancelled."""
    await asyncio.sleep(site.rng.uniform(0, SLOW_PERIOD_S))
    try:
        while True:
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(SLOW_PERIOD_S * (1 - share))
            entry.send(signal.SIGCONT)
            await asyncio.sleep(SLOW_PERIOD_S * share)
    finally:
        entry.send(signal.SIGCONT)


async def slow_processes(site, kind, choose):
    entries, share = choose(site), site.rng.uniform(0.25, 0.6)
    with site.disturb(f"{kind} {share:.2f}", names_of(entries)):
        cuts = [site.spawn(cut_processor(site, entry, share)) for entry in entries]
        await asyncio.sleep(site.rng.uniform(3, 9))
        for cut in cuts:
            cut.cancel()
        await asyncio.gather(*cuts, return_exceptions=True)


@fault
async def pause_many(site):
    """Pause many processes, or all, for seconds."""
    entries = site.some_entries(site.rng.choice([0.4, 0.7, 1.0]))
    with site.disturb("pause_many", names_of(entries)):
        for entry in entries:
            entry.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(site.rng.uniform(1, 6))
        finally:
            for entry in entries:
                entry.send(signal.SIGCONT)


# Clocks


@fault
async def step_clocks(site):
    """Let the time of day jump by seconds, and back; the leader's or many others'."""
    entries = [site.leading()]
    if site.rng.random() < 0.7:
        entries = site.some_entries(site.rng.choice([0.2, 0.5, 1.0]))
    # A clock that is off is no disturbance; its steps are.
    for _ in range(site.rng.randint(1, 3)):
        offset_s = site.rng.choice([-1, 1]) * site.rng.uniform(1, 12)
        for offset in (offset_s, 0.0):
            with site.disturb(f"step_clocks {offset:.1f}", names_of(entries)):
                for entry in entries:
                    entry.set_clock(offset)
            await asyncio.sleep(site.rng.uniform(1, 7))


# Store and leader


async def lose_leader(site, how):
    entry = site.leading()
    kind = f"lose_leader {how}"
    with site.disturb(kind, [entry.name], benign=how == "SIGTERM"):
        if how == "SIGSTOP":
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(site.rng.uniform(2, 8))
            entry.send(signal.SIGCONT)
        else:
            await entry.restart(signal.Signals[how], site.rng.uniform(0, 3.5))


async def drop_store_channels(site, share):
    """Reset or close the store's connections of some processes, or all, once."""
    entries = site.some_entries(share)
    reset = site.rng.random() < 0.6
    mode = site.rng.choice(["reset", "503", "silent", ""])
    on = ["core"] if share == 1.0 else names_of(entries)
    with site.disturb(f"drop_store_channels {reset} {mode}", on):
        for entry in entries:
            entry.server.drop(reset)
            site.store.modes[entry.name] = mode
        await asyncio.sleep(site.rng.uniform(0.1, 1.5))
        for entry in entries:
            site.store.modes.pop(entry.name, None)


async def flap_store(site):
    share = site.rng.choice([0.3, 0.6, 1.0])
    for _ in range(site.rng.randint(1, 4)):
        await drop_store_channels(site, share)
        await asyncio.sleep(site.rng.uniform(0.1, 1.2))


@fault
async def flap_beside_takeover(site):
    """Lose the leader and then the store's connections, repeated within a minute."""
    for number in range(site.rng.randint(1, 3)):
        if number:
            await asyncio.sleep(site.rng.choice([2, 6, 20]) + site.rng.uniform(0, 8))
        how = site.rng.choice(["SIGKILL", "SIGTERM", "SIGTERM", "SIGSTOP"])
        lost = site.spawn(lose_leader(site, how))
        await asyncio.sleep(site.rng.choice([1.2, site.rng.uniform(0, 4)]))
        site.spawn(site.cancel_promptly())
        await flap_store(site)
        await lost


@fault
async def restart_store(site):
    """Restart the store: connections are reset and no write under way is answered."""
    for _ in range(site.rng.randint(1, 2)):
        with site.disturb("restart_store", ["core"]):
            site.store.busy = site.rng.uniform(10, 60)
            await asyncio.sleep(0.6)
            site.store.restarts += 1
            site.store.modes["*"] = "reset"
            for entry in site.entries:
                entry.server.drop()
            await asyncio.sleep(site.rng.uniform(0.1, 2.5))
            site.store.busy = 1.0
            site.store.modes.pop("*", None)
            # Writes under way may be applied until now.
            await asyncio.sleep(6.0)


for _name, _choose in (
    ("slow_one", lambda site: site.some_entries(0.01)),
    ("slow_leader", lambda site: [site.leading()]),
    ("slow_some", lambda site: site.some_entries(0.35)),
    ("slow_all", lambda site: list(site.entries)),
):
    FAULTS[_name] = functools.partial(slow_processes, kind=_name, choose=_choose)
