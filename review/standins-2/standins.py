"""Stand-ins for the platform's store, replicas and clients, and the processes of a small system.

Everything runs on loopback addresses and the real clock. Only the standard library is used.
"""

import asyncio
import base64
import hashlib
import json
import logging
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()
HEARTBEAT_S = 1.2
HOST = "ficu95.example"
ZONES = {"mtl-a": "mtl", "sag-a": "sag", "gas-a": "gas"}
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 6000, "ackMs": 8000, "catchUpS": 4,
    "drainMs": 4000, "graceS": 8, "lossSlackMs": 200, "configMs": 4000, "downgradeMs": 250,
    "skewMaxMs": 10000, "strictRevoke": True, "revokeMs": 5000, "retryRatio": 0.2,
    "retryWindowS": 10, "retryExtra": 52, "quotaWindowS": 8, "quotaExcess": 0.1,
    "quotaExtra": 140000, "warmupFactor": 1.5, "warmupExtra": 3, "evacMs": 5000,
    "recoverS": 12, "passMs": 800, "reuseWindowS": 10, "ttl_max_s": 5,
}


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self._file.write(f"{now():9.3f}  {text}\n")
        self._file.flush()


class Network:
    """Hands out loopback addresses of one random network of this run."""

    def __init__(self):
        rnd = random.SystemRandom()
        self._prefix = f"127.{rnd.randint(20, 250)}.{rnd.randint(1, 250)}."
        self._next = 10

    def address(self):
        self._next += 1
        return self._prefix + str(self._next)


async def read_head(reader):
    """Returns the first line and the headers in lower case; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, on_data):
    """Reads a chunked body; raises an exception if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        on_data(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_body(reader, headers):
    body = bytearray()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, body.extend)
    elif int(headers.get("content-length", "0")) > 0:
        body.extend(await reader.readexactly(int(headers["content-length"])))
    return bytes(body)


def reset(writer):
    """Resets a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store, as far as the system calls it."""

    def __init__(self, network):
        self.host = network.address()
        self.port = 8505
        self.rev = 5
        self.items = {}
        self.leases = {}
        self._next_lease = 1000
        self._server = None
        self.hook = None  # hook(method, path, body) -> None, or an awaitable that replaces the call

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key]["created"] if key in self.items else self.rev
        self.items[key] = {
            "key": key, "value": value, "rev": self.rev, "created": created, "lease": lease}

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def delete(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]

    def _expire(self):
        for lease, until in list(self.leases.items()):
            if until[0] < time.monotonic():
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, uri, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                replaced = self.hook(method, uri, body) if self.hook else None
                if replaced is not None:
                    status, answer = await replaced
                    if status is None:
                        await asyncio.sleep(3600)
                else:
                    status, answer = self.call(method, uri, body)
                await asyncio.sleep(0.004)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def call(self, method, uri, body):
        self._expire()
        split = urlsplit(uri)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        path = split.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.rev}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = query["pathPrefix"], query.get("after", "")
            items = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return 200, {"items": items, "morePages": False, "asOf": self.rev}
        if path == "/kv-txn":
            return self._transact(json.loads(body))
        if path == "/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self._next_lease += 1
            self.leases[self._next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease": self._next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl / 1000
            return 200, {"ttlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _transact(self, txn):
        conditions = txn.get("expectRev", [])
        if any(self.items.get(c["key"], {"rev": 0})["rev"] != c["rev"] for c in conditions):
            return 412, {"items": [self.items.get(c["key"], {"key": c["key"], "rev": 0})
                                   for c in conditions]}
        for put in txn.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in txn.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in txn.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.rev}


class Replica:
    """A replica of a service, over one lifetime after the other at one address."""

    def __init__(self, network, store, record, service, zone, slots=6, work_s=0.03, warmup_ms=0):
        self.host = network.address()
        self.port = 8080
        self.store, self.record = store, record
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s = work_s
        self.state = "ready"
        self.up = False
        self.arrivals = []
        self.crash_down_s = 3.0
        self._server = None
        self._writers = set()
        self._active = 0
        self._seq = 0
        self._beat = None
        self._silent_since = None

    async def start(self):
        self.id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.up = True
        if self._beat is None:
            self._beat = asyncio.ensure_future(self._heartbeats())
        self.record.line(f"replica {self.id} of {self.service} in {self.zone} starts at {self.host}")

    def write_entry(self):
        self._seq += 1
        self.store.put_json(f"servers/{self.id}", {
            "service": self.service, "addr": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "warmupMs": 0,
            "seq": self._seq, "born": self.born})

    async def _heartbeats(self):
        while True:
            if self.up:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Ends this lifetime; the entry expires after three heartbeats of silence."""
        if not self.up:
            return
        self.up = False
        gone = self.id
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()
        self._active = 0
        self.record.line(f"replica {gone} crashes")
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, lambda: self.store.delete(f"servers/{gone}"))
        await asyncio.sleep(self.crash_down_s)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self._answer(head, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, body, writer):
        headers = head[1]
        attempt = headers.get("filbertrudder-attempt-id")
        if headers.get("filbertrudder-expect-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                         + f"Filbertrudder-Instance-Id: {self.id}\r\n\r\n".encode())
            return True
        if attempt is None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                         b"Filbertrudder-Not-Executed: 1\r\n\r\n")
            return True
        self.arrivals.append((now(), attempt, head[0], headers, body))
        self.record.line(f"replica {self.id} runs {attempt} {head[0]} {body[:24]!r}")
        return await self.run(head, body, writer)

    async def run(self, head, body, writer):
        """Runs a request; overridden by scripts. Returns whether the channel is kept."""
        self._active += 1
        await asyncio.sleep(self.work_s)
        self._active -= 1
        self.reply(writer, head[1], b"done " + hashlib.sha256(body).hexdigest().encode())
        await writer.drain()
        return True

    def reply(self, writer, headers, data, status="200 OK"):
        writer.write(
            f"HTTP/1.1 {status}\r\n"
            f"Filbertrudder-Attempt-Id: {headers['filbertrudder-attempt-id']}\r\n"
            f"Filbertrudder-Server-Stamp: {hashlib.sha256(data).hexdigest()[:16]}\r\n"
            f"Filbertrudder-Server-Load: {self._active},0,{self.slots}\r\n"
            f"Keep-Alive: timeout=5\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)


class Machine:
    """One machine of the system: a process that the deploy file's command starts."""

    def __init__(self, network, name, zone, store, directory, record):
        self.name, self.zone, self.store = name, zone, store
        self.ip = network.address()
        self.directory, self.record = directory, record
        self.process = None
        self.started_s = None
        self.touched_s = None
        self.log_path = os.path.join(directory, name + ".log")

    def settings(self, seeds, first_start):
        def toml(value):
            return json.dumps(value)
        lines = [
            f'nodeName = "{self.name}"', 'role = "gateway"', 'machineClass = "edge"',
            'serves = ["edge","ctrl","dir"]', f'ip = "{self.ip}"', f'zone = "{self.zone}"',
            f'region = "{ZONES[self.zone]}"', "portRange = [7020,7035]", f"seeds = {toml(seeds)}",
            f"firstStart = {toml(first_start)}", "inTolerance = false", 'discovery = "platform"',
            'entry = "dir"', "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            '"places","tenants","quota","platform"]',
            "[zones]", *[f'{z} = "{r}"' for z, r in ZONES.items()],
            "[listen]", f'front = "{self.ip}:8501"', f'ready = "{self.ip}:8503"',
            f'control = "{self.ip}:8509"', f'directory = "{self.ip}:8506"',
            "[limits]", "cpuShare = 0.75", "cores = 1", "memoryMb = 430", "maxFds = 4100",
            "linkMbps = 1000.0", "diskMb = 0",
            "[faultTolerance]", "machines = 1", "zones = 1", "regions = 1",
            "[bounds]", *[f"{k} = {toml(v)}" for k, v in BOUNDS.items()],
            "[infra]", f'addr = "{self.store.host}:{self.store.port}"', 'form = "kv"',
            "writesPerS = 400", "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576",
            "ttlMinMs = 1000"]
        path = os.path.join(self.directory, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, seeds, first_start):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "([^"]*)"$', file.read(), re.MULTILINE).group(1).split(" ")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG")
                       if k in os.environ}
        environment["FILBERTRUDDER_NODE_FILE"] = self.settings(seeds, first_start)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                run, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.started_s = self.touched_s = now()
        self.record.line(f"machine {self.name} starts")

    async def ready(self):
        try:
            status, _, _ = await get(self.ip, 8503, "/readyz")
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def await_ready(self, limit_s=20):
        end = now() + limit_s
        while now() < end:
            if await self.ready():
                return
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} has ended; see {self.log_path}")
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    async def stop(self):
        """SIGTERM, and SIGKILL after graceS."""
        self.touched_s = now()
        self.record.line(f"machine {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        end = now() + BOUNDS["graceS"]
        while self.process.poll() is None and now() < end:
            await asyncio.sleep(0.05)
        self.kill()
        self.record.line(f"machine {self.name} has ended")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def in_touch(self):
        return (self.process.poll() is None
                and now() - self.touched_s > BOUNDS["contactMs"] / 1000)


async def get(host, port, path, timeout_s=1.0):
    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
            head = await read_head(reader)
            if head is None:
                raise ValueError("no answer")
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()
    return await asyncio.wait_for(call(), timeout_s)


class Answer:
    """What a client has seen of one attempt."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.ended_s = None

    def summary(self):
        return f"{self.status} {'whole' if self.complete else 'not whole'} {self.error}".strip()


async def send(ip, method, path, key, body=b"", deadline_ms=5000, headers=None, attempt=None,
               record=None):
    """Sends one client attempt on a new channel and reads its answer."""
    answer = Answer(attempt or os.urandom(8).hex())
    lines = {"Host": HOST, "Filbertrudder-Attempt-Id": answer.attempt,
             "Filbertrudder-Deadline-Ms": str(deadline_ms)}
    if key:
        lines["Authorization"] = "Bearer " + key
    if body:
        lines["Content-Length"] = str(len(body))
    lines.update(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())

    async def call():
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, 8501), 1.0)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            got = await read_head(reader)
            if got is None:
                answer.error = "closed"
                return
            answer.status, answer.headers = int(got[0].split(" ")[1]), got[1]
            data = bytearray()
            if got[1].get("transfer-encoding", "").lower() == "chunked":
                await read_chunks(reader, data.extend)
            else:
                data.extend(await reader.readexactly(int(got[1].get("content-length", "0"))))
            answer.body = bytes(data)
            answer.complete = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(call(), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.error = "deadline"
    except (OSError, asyncio.IncompleteReadError) as e:
        answer.error = type(e).__name__
    answer.ended_s = now()
    if record:
        record.line(f"client: {answer.attempt} at {ip}: {answer.summary()}")
    return answer


class System:
    """A small system: two machines in each of three zones, a store and replicas."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.network = Network()
        self.store = Store(self.network)
        self.replicas = []
        self.machines = [
            Machine(self.network, f"edge-{zone}-{number}", zone, self.store, self.directory,
                    self.record)
            for zone in ZONES for number in (1, 2)]

    def seeds(self):
        return [f"{m.ip}:8509" for m in self.machines[::2]]

    async def start(self, configuration):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
        self.store.put_json("op/config", configuration)
        for machine in self.machines:
            machine.start(self.seeds(), True)
        for machine in self.machines:
            await machine.await_ready()
        self.record.line("all machines are ready")

    async def restart(self, machine):
        await machine.stop()
        machine.start(self.seeds(), False)
        await machine.await_ready()

    def end(self):
        for machine in self.machines:
            machine.kill()


def route(name, prefix, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 2500,
            "goalMs": 500, "priority": 2, "service": service, "attempts": 1, "public": False,
            "affinity": False, "resumable": False, "homeRegions": [], **more}


def service(name, **more):
    return {"name": name, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False,
            "warmupS": 0.0, "warmupPerS": 0.0, **more}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


def tenant(name, keys, rate=300000, **more):
    return {"name": name, "apiKeys": keys, "priority": 1, "unit": "tokens", "plainTokens": 200,
            "ratePerS": rate, "burst": rate, "homeRegions": [], **more}


def main(case, folder):
    """Runs a case; its result is the exit code: 1 broken, 0 held, 2 could not run."""
    system = System(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        broken = asyncio.run(asyncio.wait_for(case(system, trouble), 118))
        system.record.line("RESULT: the rule is broken" if broken else "RESULT: the rule holds")
        code = 1 if broken else 0
    except Exception as e:
        system.record.line(f"RESULT: the case could not run: {e!r}")
        print(repr(e), file=sys.stderr)
        code = 2
    finally:
        system.end()
    sys.exit(code)
