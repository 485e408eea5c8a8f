"""Workers of the soak test at site size; they run in a process of their own."""

import asyncio
import json
import random
import socket
import struct
import sys
import time
from dataclasses import dataclass

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
LEASE_MAX_MS = 10_000
GANG_WAIT_S = 4.0
SAVE_MS = 500
RESTORE_S = 0.25
LONGEST_STOP_S = 0.35


async def forever():
    """Leave a call without an answer."""
    await asyncio.sleep(3600)


class Record:
    """Writes events as JSON lines; the clock is common to all processes."""

    def __init__(self, path):
        self._file = open(path, "a", buffering=1)  # noqa: SIM115

    def write(self, event, **fields):
        row = {"t": round(time.monotonic(), 4), "ev": event} | fields
        self._file.write(json.dumps(row) + "\n")


class Http:
    """Minimal HTTP/1.1 server with keep-alive.

    Args:
        handler: Returns status and body (a dict or bytes), or ``None`` for a reset.
    """

    def __init__(self, handler):
        self._handler = handler
        self.address = ""
        self._server = None
        self._open, self._silent = set(), set()

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    def silence(self):
        """Leave the open connections without answers; new ones are served."""
        self._silent |= self._open

    def drop(self, reset=True):
        """Reset or close the open connections."""
        for writer in [w for w in self._open if not w.is_closing()]:
            if reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if writer in self._silent:
                    break
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                rows = (line.partition(":") for line in lines)
                headers = {name.lower(): value.strip() for name, _, value in rows}
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._handler(method, target, headers, data)
                if answer is None or writer in self._silent:
                    break
                status, body = answer
                body = body if isinstance(body, bytes) else json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (status, REASONS.get(status, "Other").encode(), len(body))
                    + body
                )
                await writer.drain()
            if writer in self._silent:
                await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller has gone.
            pass
        finally:
            self._open.discard(writer)
            self._silent.discard(writer)
            writer.transport.abort()


@dataclass(eq=False)
class Run:
    """A run of a task.

    Attributes:
        plan: The step as the caller described it, with ``ms`` of work.
        resumed_ms: Work that its checkpoint contains.
        began: Monotonic time at which it began to work.
    """

    worker: "SiteWorker"
    task: str
    number: int
    plan: dict
    resumed_ms: float
    outcome: str
    timer: asyncio.TimerHandle | None = None
    began: float = 0.0

    @property
    def percent(self):
        if not self.began:
            return 0
        worked_ms = self.resumed_ms + max(0.0, time.monotonic() - self.began) * 1000
        return min(100, int(100 * worked_ms / max(1, self.plan["ms"])))

    @property
    def group(self):
        return self.task.rpartition(".")[0], self.number

    def begin(self):
        """Begin to work; the members of a gang do so together."""
        left_s = max(0.0, self.plan["ms"] - self.resumed_ms) / 1000
        restore_s = RESTORE_S if self.resumed_ms else 0.0
        if self.outcome == "failed":
            left_s *= 0.5
        self.began = time.monotonic() + restore_s
        self.set_timer(left_s + restore_s, self.outcome)

    def set_timer(self, delay_s, how):
        if self.timer:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self.worker.end, self.task, how)

    def saved(self, exact=False):
        """Return the newest checkpoint: its task, its run and the work in it."""
        if not self.plan.get("checkpointing"):
            return ""
        worked_ms = max(0.0, time.monotonic() - self.began) * 1000 if self.began else 0
        saved_ms = int(worked_ms if exact else worked_ms // SAVE_MS * SAVE_MS)
        total_ms = int(self.resumed_ms) + saved_ms
        return f"{self.task}~{self.number}~{total_ms}" if total_ms else ""


class SiteWorker:
    """A worker that follows the protocol, with faults.

    Attributes:
        faults: ``cut``, and shares of calls: ``lost`` answers, orders carried out
            ``late``, starts refused as ``grey``.
    """

    def __init__(self, host, worker_id):
        self.host, self.worker_id = host, worker_id
        self.faults = {}
        self.runs = {}
        self.server = Http(self.handle)
        self.begin_life()

    def begin_life(self):
        for task in list(self.runs):
            self.end(task, "lost")
        self.born_ms, self.origin = int(time.time() * 1000), time.monotonic()
        self.token = self.until_ms = self.sequence = 0
        self.highest, self.ended = {}, []
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000 * self.host.clock_rate)

    def answer(self, status, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born_ms} | fields

    def note(self, event, **fields):
        self.host.record.write(event, w=self.worker_id, born=self.born_ms, **fields)

    async def handle(self, method, target, headers, data):
        chance = self.host.rng.random
        if "cut" in self.faults:
            await forever()
        if headers.get("target-instance") != self.worker_id:
            return 421, {}
        body = json.loads(data)
        if target != "/hold" and chance() < self.faults.get("late", 0):
            delay_s = self.host.rng.uniform(2, 12)
            asyncio.create_task(self.execute_late(target, body, delay_s))
            await forever()
        born = self.born_ms
        answer = await self.execute(target, body)
        if born != self.born_ms:
            return None
        if chance() < self.faults.get("lost", 0):
            await forever()
        return answer

    async def execute_late(self, target, body, delay_s):
        received, born = time.monotonic(), self.born_ms
        await asyncio.sleep(delay_s)
        if born == self.born_ms and "gone" not in self.faults:
            await self.execute(target, body, received)

    async def execute(self, target, body, received=None):
        if body["fencingToken"] < self.token:
            return self.answer(409, reason="fence")
        self.token = body["fencingToken"]
        if target == "/hold":
            return await self.hold(body)
        task, run, token = body["task"], body["run"], body["fencingToken"]
        fields = {"task": task, "run": run, "token": token, "received": received}
        if target == "/run-stop":
            self.note("stop", **fields)
            self.highest[task] = max(run, self.highest.get(task, 0))
            if task in self.runs and self.runs[task].number <= run:
                delay_s = self.host.rng.uniform(0.02, LONGEST_STOP_S)
                self.runs[task].set_timer(delay_s, "stopped")
            return self.answer(200)
        reason = self.start(task, run, body)
        if reason == "started":
            fields |= {"spec": body["spec"], "ckpt": body.get("checkpoint", "")}
            self.note("start", **fields)
        elif reason:
            self.note("refused", reason=reason, **fields)
            return (503, {}) if reason == "grey" else self.answer(409, reason=reason)
        return self.answer(200)

    def start(self, task, run, body):
        """Start a run; returns ``started``, the reason of a refusal, or nothing."""
        rng = self.host.rng
        if rng.random() < self.faults.get("grey", 0):
            return "grey"
        if body["untilMs"] <= self.clock_ms():
            return "late"
        self.extend(body["untilMs"])
        if task in self.runs and self.runs[task].number == run:
            return ""
        if task in self.runs or run <= self.highest.get(task, 0):
            return "old"
        step, worker_id, until = (body.get("ticket") or "||0").split("|")
        if not task.startswith(step + ".") or worker_id != self.worker_id:
            return "ticket"
        if float(until) < time.monotonic():
            return "ticket"
        try:
            plan = json.loads(body["spec"])["steps"][int(task.split(".")[2])]
        except (ValueError, LookupError, TypeError):
            plan = {"ms": 500}
        self.highest[task] = run
        failing = plan.get("bad") or rng.random() < plan.get("errors", 0)
        resumed_ms = float(body.get("checkpoint", "").rpartition("~")[2] or 0)
        plan = plan | {"ms": plan["ms"] * rng.uniform(0.7, 1.3)}
        outcome = "failed" if failing else "done"
        self.runs[task] = new = Run(self, task, run, plan, resumed_ms, outcome)
        if plan.get("gang"):
            members = self.host.gangs.setdefault(new.group, set())
            members.add(new)
            new.set_timer(GANG_WAIT_S, "alone")
            if len(members) == plan["count"]:
                for member in members:
                    member.begin()
        else:
            new.begin()
        return "started"

    def extend(self, until_ms):
        latest_ms = self.clock_ms() + LEASE_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, latest_ms))

    def lapse(self):
        if self.runs and self.clock_ms() >= self.until_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        run.timer.cancel()
        saved = "" if how == "done" else run.saved(exact=how == "stopped")
        self.sequence += 1
        if how != "lost":
            self.ended.append([self.sequence, task, run.number, how, saved])
            self.changed.set()
        self.note("end", task=task, run=run.number, how=how, seq=self.sequence)
        members = self.host.gangs.get(run.group)
        if members is not None:
            members.discard(run)
            for member in list(members) if run.began else ():
                member.worker.end(member.task, "done" if how == "done" else "broken")

    async def hold(self, body):
        if body.get("untilMs"):
            self.extend(body["untilMs"])
        seen = body["lastSeen"]
        for row in self.ended:
            if row[0] <= seen:
                self.note("seen", task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("waitMs"):
            self.changed.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        rows = [
            [task, run.number, run.saved(), run.percent, 0]
            for task, run in self.runs.items()
        ]
        return self.answer(200, numRunning=rows, ended=self.ended[:500])


class WorkerHost:
    """Runs workers; commands come as JSON lines on standard input."""

    def __init__(self, path, seed):
        self.record = Record(path)
        self.rng = random.Random(seed)
        self.clock_rate = 0.98 if seed % 2 else 1.0
        self.gangs = {}
        self.workers = {}

    async def run(self):
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        lapses = asyncio.create_task(self.lapse_leases())
        while line := await reader.readline():
            command = json.loads(line)
            for worker_id in command["ids"]:
                await self.carry_out(command["do"], worker_id, command.get("value"))
        lapses.cancel()

    async def carry_out(self, action, worker_id, value):
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = self.workers[worker_id] = SiteWorker(self, worker_id)
            await worker.server.listen()
        if action == "silence":
            worker.server.silence()
            return
        if action == "faults":
            worker.faults = value
        else:
            worker.begin_life()
        if action == "leave":
            worker.faults = {"cut": 1, "gone": 1}
            return
        row = {"id": worker_id, "address": worker.server.address}
        print(json.dumps(row | {"born": worker.born_ms}), flush=True)

    async def lapse_leases(self):
        while True:
            await asyncio.sleep(0.03)
            for worker in self.workers.values():
                worker.lapse()


if __name__ == "__main__":
    asyncio.run(WorkerHost(sys.argv[1], int(sys.argv[2])).run())
