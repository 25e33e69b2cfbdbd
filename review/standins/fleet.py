"""Starts gateway processes with the deploy file's command, before stand-ins on loopback addresses.

The stand-ins follow the users' pages: the metadata store, replicas of plain and of model services,
and clients. All of them run on one event loop of the script; each gateway is a process of its own.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def now():
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be brought about, so that it says nothing about the rule."""


class Record:
    """Collects the lines of record.txt, each with the seconds since the start of the case."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = open(self.path, "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(f"{now() - self.start:8.3f} {text}", flush=True)

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if not e.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


def response_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """A small HTTP/1.1 server with kept channels; one request at a time on a channel."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers = message
                body = await read_body(reader, headers, False)
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self, reset):
        """Stops listening; resets the open channels, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()


class Store:
    """The platform's metadata store; each gateway reaches it at a port of its own."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.leases = {}
        self.revision = 10
        self.next_lease = 100
        self.refused_ports = set()
        self.delays_s = {}
        self.servers = {}
        self.reads = {}

    async def listen(self):
        holder = {}

        async def handle(method, target, headers, body, writer):
            return await self._call(holder["port"], method, target, body, writer)

        server = HttpServer(handle)
        holder["port"] = await server.listen("127.0.0.1")
        self.servers[holder["port"]] = server
        self.reads[holder["port"]] = 0
        return holder["port"]

    async def cut(self, port, for_s):
        """Refuses the channels of the gateway with this port for a time, as a cut does."""
        server = self.servers[port]
        await server.close(reset=True)
        await asyncio.sleep(for_s)
        await server.listen("127.0.0.1", port)

    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = before["created"] if before else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(text).decode(),
                           "rev": self.revision, "created": created, "lease": lease}

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1

    def _expire(self):
        for lease, (ttl, until) in list(self.leases.items()):
            if now() > until:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _call(self, port, method, target, body, writer):
        await asyncio.sleep(0.004 + self.delays_s.get(port, 0))
        if port in self.refused_ports:
            writer.write(response_bytes(503, {}, b""))
            return True
        self._expire()
        if target.startswith("/kv-range?pathPrefix=servers"):
            self.reads[port] = self.reads.get(port, 0) + 1
        status, answer = self._apply(method, target, json.loads(body) if body else {})
        data = json.dumps(answer).encode()
        writer.write(response_bytes(status, {"Content-Type": "application/json"}, data))
        return True

    def _apply(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["pathPrefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "morePages": len(keys) > 500, "asOf": self.revision}
        if url.path == "/kv-txn":
            return self._commit(body)
        if url.path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, body["ttlMs"]) / 1000
            self.leases[self.next_lease] = (ttl, now() + ttl)
            return 200, {"lease": self.next_lease, "ttlMs": int(ttl * 1000)}
        lease = int(url.path.rsplit("/", 1)[1])
        if url.path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        if url.path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _commit(self, body):
        rows = body.get("expectRev", [])
        current = [(row, self.items.get(row["key"])) for row in rows]
        if any((item["rev"] if item else 0) != row["rev"] for row, item in current):
            return 412, {"items": [item or {"key": row["key"], "rev": 0} for row, item in current]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases
               for put in body.get("puts", [])):
            return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.revision}


class Replica:
    """A replica of a service, which registers itself and serves requests in slots."""

    def __init__(self, store, record, service, zone, host, slots, work_s):
        self.store, self.record = store, record
        self.service, self.zone, self.host = service, zone, host
        self.slots, self.work_s = slots, work_s
        self.id = None
        self.port = None
        self.running = 0
        self.server = None
        self.heart = None
        self.on_run = lambda replica, headers, target, body: None
        self.work = None

    async def start(self, warmup_ms=0, id=None):
        """Starts a new lifetime, under a new id unless one is given."""
        self.id = id or f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.warm_at = now() + warmup_ms / 1000
        self.server = HttpServer(self._serve)
        self.port = await self.server.listen(self.host, self.port or 0)
        self.running = 0
        self.heart = asyncio.create_task(self._beat(self.id))
        self.record.line(f"replica {self.id} of {self.service} in {self.zone} starts at "
                         f"{self.host}:{self.port}")

    async def _beat(self, own_id):
        while True:
            self.seq += 1
            self.store.put(f"servers/{own_id}", {
                "service": self.service, "addr": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready",
                "warmupMs": max(0, int((self.warm_at - now()) * 1000)), "seq": self.seq,
                "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def leave(self):
        """Leaves without a word: its entry is removed, and it serves on."""
        self.record.line(f"replica {self.id} leaves: its entry is removed")
        self.heart.cancel()
        self.store.delete(f"servers/{self.id}")

    async def crash(self, keep_entry=False):
        """Ends like a killed process: channels are reset, the entry goes after three beats.

        The entry of a replica that is back under its id within that time stays.
        """
        self.record.line(f"replica {self.id} crashes with {self.running} requests running")
        self.heart.cancel()
        await self.server.close(reset=True)
        gone = self.id
        if not keep_entry:
            asyncio.get_running_loop().call_later(
                3 * HEARTBEAT_S, lambda: self.store.delete(f"servers/{gone}"))

    async def _serve(self, method, target, headers, body, writer):
        own_id = self.id
        attempt = headers.get("filbertrudder-attempt-id", "")
        base = {"Filbertrudder-Attempt-Id": attempt,
                "Filbertrudder-Server-Load": f"{self.running},0,{self.slots}",
                "Keep-Alive": "timeout=5"}
        if target == "/healthz":
            writer.write(response_bytes(200, {"Filbertrudder-Instance-Id": own_id}, b""))
            return True
        if headers.get("filbertrudder-expect-instance", own_id) != own_id:
            writer.write(response_bytes(421, {"Filbertrudder-Instance-Id": own_id}, b""))
            return True
        if self.running >= self.slots:
            writer.write(response_bytes(503, {**base, "Filbertrudder-Not-Executed": "1"}, b""))
            return True
        self.running += 1
        try:
            self.on_run(self, headers, target, body)
            if self.work:
                return await self.work(self, headers, target, body, writer, base)
            await asyncio.sleep(self.work_s)
            base["Filbertrudder-Server-Stamp"] = f"{own_id}.{attempt}"
            writer.write(response_bytes(200, base, b"x" * 800))
            return True
        finally:
            if own_id == self.id:
                self.running -= 1


class GatewayProcess:
    """One gateway, started with the command of the deploy file from the repository root."""

    def __init__(self, fleet, name, region, host, store_port):
        self.fleet, self.name, self.region, self.host = fleet, name, region, host
        self.store_port = store_port
        self.process = None
        self.log = fleet.folder / f"{name}.log"

    def write_settings(self):
        fleet = self.fleet
        zones = "\n".join(f'{r}-a = "{r}"' for r in fleet.regions)
        seeds = ",".join(f'"{g.host}:8509"' for g in fleet.gateways[:3])
        text = f"""nodeName = "{self.name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","ctrl","dir"]
ip = "{self.host}"
zone = "{self.region}-a"
region = "{self.region}"
portRange = [7020,7035]
seeds = [{seeds}]
firstStart = {"true" if self.process is None else "false"}
inTolerance = false
discovery = "platform"
entry = "dir"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","tenants","quota","platform"]
[zones]
{zones}
[listen]
front = "{self.host}:8501"
ready = "{self.host}:8503"
control = "{self.host}:8509"
directory = "{self.host}:8506"
[limits]
cpuShare = 0.75
cores = 1
memoryMb = 430
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 1
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 6000
ackMs = 8000
catchUpS = 4
drainMs = 4000
graceS = 8
lossSlackMs = 200
configMs = 4000
downgradeMs = 250
skewMaxMs = 10000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 52
quotaWindowS = 8
quotaExcess = 0.1
quotaExtra = 140000
warmupFactor = 1.5
warmupExtra = 3
evacMs = 5000
recoverS = 12
passMs = 800
reuseWindowS = 10
ttl_max_s = 5
[infra]
addr = "127.0.0.1:{self.store_port}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
        path = fleet.folder / f"{self.name}.toml"
        path.write_text(text)
        return path

    def start(self):
        settings = self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG")
                       if name in os.environ}
        environment["FILBERTRUDDER_NODE_FILE"] = str(settings)
        deploy_file = (REPOSITORY / "deploy/system.toml").read_text()
        command = re.search('^run = "(.*)"$', deploy_file, re.MULTILINE).group(1).split(" ")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=REPOSITORY, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.fleet.record.line(f"gateway {self.name} starts")

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.line(f"gateway {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def await_ready(self, timeout_s=25):
        until = now() + timeout_s
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"gateway {self.name} ended with {self.process.returncode}")
            reply = await request(self.host, 8503, "GET", "/readyz", {}, b"", 1.0)
            if reply.status == 200:
                self.fleet.record.line(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.name} is not ready")


class Reply:
    """What a client saw: status 0 stands for a closed channel or none, with the reason."""

    def __init__(self, status, headers, body, why=""):
        self.status, self.headers, self.body, self.why = status, headers, body, why


async def exchange(host, port, method, target, headers, body):
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, port)
        lines = [f"{method} {target} HTTP/1.1", "Host: clubs.example"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        message = await read_message(reader)
        if message is None:
            return Reply(0, {}, b"", "closed")
        line, answer = message
        data = await read_body(reader, answer, True)
        return Reply(int(line.split(" ")[1]), answer, data)
    finally:
        if writer:
            writer.close()


async def request(host, port, method, target, headers, body, timeout_s):
    """Sends one request on a new channel and reads its whole answer."""
    try:
        return await asyncio.wait_for(exchange(host, port, method, target, headers, body),
                                      timeout_s)
    except asyncio.TimeoutError:
        return Reply(0, {}, b"", "timeout")
    except (OSError, asyncio.IncompleteReadError) as e:
        return Reply(0, {}, b"", type(e).__name__)


def route(prefix, kind, service, **more):
    return {"name": "r" + prefix.strip("/"), "host": "clubs.example", "pathPrefix": prefix,
            "type": kind, "timeoutMs": 5000, "goalMs": 500, "priority": 1, "service": service,
            "attempts": 2 if kind == "safe" else 1, "public": False, "affinity": False,
            "homeRegions": [], **more}


def service(name, slots=None):
    rule = {"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1",
            "tls": False, "warmupS": 0.0, "warmupPerS": 0.0}
    if slots:
        rule["engine"] = {"slots": slots, "kvCapacity": 402263}
    return rule


def tenant(name, key, rate=0, burst=0):
    return {"name": name, "apiKeys": [key], "priority": 1, "unit": "tokens", "plainTokens": 200,
            "ratePerS": rate, "burst": burst, "homeRegions": []}


def desired_state(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Fleet:
    """Gateways, the store and replicas of one case; ends all processes that it started."""

    def __init__(self, case_folder, regions):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.regions = regions
        self.store = Store(self.record)
        self.gateways = []
        self.replicas = []
        self.network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"

    async def add_gateway(self, region):
        number = len(self.gateways) + 1
        port = await self.store.listen()
        gateway = GatewayProcess(self, f"edge-{region}-a-{number}", region,
                                 f"{self.network}.{number}", port)
        self.gateways.append(gateway)
        return gateway

    async def add_replica(self, service_name, region, slots, work_s):
        host = f"{self.network}.{100 + len(self.replicas)}"
        replica = Replica(self.store, self.record, service_name, f"{region}-a", host, slots, work_s)
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.await_ready()

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(case_folder, regions, case):
    """Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run():
        fleet = Fleet(case_folder, regions)
        try:
            return 1 if await asyncio.wait_for(case(fleet), 110) else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            fleet.record.say(f"The case could not run: {type(e).__name__} {e}")
            return 2
        finally:
            fleet.close()

    sys.exit(asyncio.run(run()))
