"""Stand-ins and a launcher for the cases of the second review: state service, cloud, workers and users, after the
protocol page, on loopback addresses and the real clock. Only the standard library is used.

The controllers are started as separate processes with the `run` command of deploy/service.toml."""
import json
import os
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import http.client
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TOOLS = os.path.join(ROOT, "build-review-2")  # built by review/build-2.sh
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
LIMIT_S = 112  # a script that is not over by then ends with status 2


# ---- MessagePack: maps keyed by text, lists, text, numbers, booleans, null ------------------------------------

def pack(v):
    out = bytearray()
    _pack(v, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xc0)
    elif v is True or v is False:
        out.append(0xc3 if v else 0xc2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif v >= 0:
            out += struct.pack(">BI", 0xce, v) if v < 1 << 32 else struct.pack(">BQ", 0xcf, v)
        else:
            out += struct.pack(">Bq", 0xd3, v)
    elif isinstance(v, float):
        out += struct.pack(">Bd", 0xcb, v)
    elif isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            out.append(0xa0 | len(b))
        else:
            out += struct.pack(">BH", 0xda, len(b)) if len(b) < 65536 else struct.pack(">BI", 0xdb, len(b))
        out += b
    elif isinstance(v, (list, tuple)):
        out += struct.pack(">BI", 0xdd, len(v))
        for x in v:
            _pack(x, out)
    elif isinstance(v, dict):
        if len(v) < 16:
            out.append(0x80 | len(v))
        else:
            out += struct.pack(">BI", 0xdf, len(v))
        for k, x in v.items():
            _pack(k, out)
            _pack(x, out)
    else:
        raise TypeError(type(v))


def unpack(b):
    v, at = _unpack(b, 0)
    if at != len(b):
        raise ValueError("bytes after the document")
    return v


_FIXED = {0xca: ">f", 0xcb: ">d", 0xcc: ">B", 0xcd: ">H", 0xce: ">I", 0xcf: ">Q",
          0xd0: ">b", 0xd1: ">h", 0xd2: ">i", 0xd3: ">q"}
_TEXT = {0xd9: ">B", 0xda: ">H", 0xdb: ">I"}
_LIST = {0xdc: ">H", 0xdd: ">I"}
_MAP = {0xde: ">H", 0xdf: ">I"}


def _unpack(b, at):
    c = b[at]
    at += 1
    if c < 0x80:
        return c, at
    if c >= 0xe0:
        return c - 256, at
    if c == 0xc0:
        return None, at
    if c in (0xc2, 0xc3):
        return c == 0xc3, at
    if c in _FIXED:
        f = _FIXED[c]
        n = struct.calcsize(f)
        return struct.unpack_from(f, b, at)[0], at + n
    if 0xa0 <= c <= 0xbf or c in _TEXT:
        n = c & 0x1f
        if c in _TEXT:
            n = struct.unpack_from(_TEXT[c], b, at)[0]
            at += struct.calcsize(_TEXT[c])
        if at + n > len(b):
            raise ValueError("short text")
        return b[at:at + n].decode(), at + n
    if 0x90 <= c <= 0x9f or c in _LIST:
        n = c & 0x0f
        if c in _LIST:
            n = struct.unpack_from(_LIST[c], b, at)[0]
            at += struct.calcsize(_LIST[c])
        out = []
        for _ in range(n):
            v, at = _unpack(b, at)
            out.append(v)
        return out, at
    if 0x80 <= c <= 0x8f or c in _MAP:
        n = c & 0x0f
        if c in _MAP:
            n = struct.unpack_from(_MAP[c], b, at)[0]
            at += struct.calcsize(_MAP[c])
        out = {}
        for _ in range(n):
            k, at = _unpack(b, at)
            out[k], at = _unpack(b, at)
        return out, at
    raise ValueError("byte 0x%02x" % c)


def json_size(v):
    return len(json.dumps(v, separators=(",", ":"), ensure_ascii=False).encode())


# ---- record ---------------------------------------------------------------------------------------------------

class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - START, text))
            self.file.flush()


# ---- HTTP -----------------------------------------------------------------------------------------------------

OWN = "127.%d.%d.%d" % (80 + (os.getpid() >> 14) % 40, (os.getpid() >> 7) % 128, 1 + os.getpid() % 128)
_ports = set()


def free_address():
    while True:
        s = socket.socket()
        s.bind((OWN, 0))
        port = s.getsockname()[1]
        s.close()
        if port not in _ports:
            _ports.add(port)
            return "%s:%d" % (OWN, port)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, address, route):
        host, port = address.rsplit(":", 1)
        self.open = set()
        self.closed = False

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def answer(self):
                n = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(n) if n else b""
                status, value = route(self.command, self.path, body)
                if status is None:  # no answer: the connection closes
                    self.close_connection = True
                    return
                out = pack(value)
                self.send_response(status)
                self.send_header("Content-Type", "application/msgpack")
                self.send_header("Content-Length", str(len(out)))
                self.end_headers()
                self.wfile.write(out)
                self.wfile.flush()

            do_GET = do_POST = do_DELETE = answer

            def log_message(self, *a):
                pass

        super().__init__((host, int(port)), Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def get_request(self):
        sock, peer = super().get_request()
        self.open.add(sock)
        return sock, peer

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass

    def stop(self):
        self.closed = True
        self.shutdown()
        self.server_close()
        for s in list(self.open):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def call(address, method, path, value=None, timeout=5.0, conn=None):
    """One request. Returns (status, body), with status 0 without an answer."""
    host, port = address.rsplit(":", 1)
    c = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        c.request(method, path, pack(value) if value is not None else None,
                  {"Content-Type": "application/msgpack"})
        r = c.getresponse()
        data = r.read()
        return r.status, (unpack(data) if data else None)
    except (OSError, http.client.HTTPException, ValueError, struct.error, IndexError):
        return 0, None
    finally:
        c.close()


# ---- state service --------------------------------------------------------------------------------------------

class State:
    def __init__(self, address, record, value_kb=32, txn_ops=16):
        self.address, self.record = address, record
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.kv, self.holds = {}, {}          # key -> (value, mark, permit); permit -> [ttl, until]
        self.ledger, self.last_permit = 1, 0
        self.log = []                          # (mark, key, value or None)
        self.oldest = 1
        self.changed = threading.Condition()
        self.refused = 0
        threading.Thread(target=self.expire, daemon=True).start()
        self.server = Server(address, self.route)

    def put(self, mark, key, value, permit=None, drop=False):
        if drop:
            self.kv.pop(key, None)
        else:
            self.kv[key] = (value, mark, permit)
        self.log.append((mark, key, None if drop else (value,)))
        if len(self.log) > 10000:
            self.oldest = self.log[0][0]
            del self.log[0]

    def end(self, permit):
        self.holds.pop(permit, None)
        gone = [k for k, v in self.kv.items() if v[2] == permit]
        if gone:
            self.ledger += 1
            for k in gone:
                self.put(self.ledger, k, None, drop=True)
            self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                for permit in [p for p, h in self.holds.items() if now >= h[1]]:
                    self.end(permit)

    def multi(self, body):
        if json_size(body) > 64 * 1024:
            return 400, {"error": "larger than 64 KiB"}
        conditions, changes = body.get("if") or [], body.get("then") or []
        if len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        for c in changes:
            if "set" in c and json_size(c["value"]) > self.value_bytes:
                return 400, {"error": "a value is too large: %s, %d bytes" % (c["set"], json_size(c["value"]))}
            if "set" in c and c.get("permit") and c["permit"] not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions
                  if (self.kv[c["key"]][1] if c["key"] in self.kv else 0) != c["mark"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
            for c in changes:
                if "set" in c:
                    self.put(self.ledger, c["set"], c["value"], c.get("permit"))
                else:
                    self.put(self.ledger, c["drop"], None, drop=True)
            self.changed.notify_all()
        return 200, {"ledger": self.ledger}

    def route(self, method, target, data):
        path, _, query = target.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&") if p)
        body = unpack(data) if data else {}
        with self.changed:
            if method == "GET" and path.startswith("/kv/"):
                key = path[4:]
                if key not in self.kv:
                    return 404, {"ledger": self.ledger}
                value, mark, permit = self.kv[key]
                out = {"key": key, "value": value, "mark": mark}
                if permit:
                    out["permit"] = permit
                return 200, out
            if method == "GET" and path == "/kv":
                under, since, page = q.get("under", ""), q.get("since", ""), min(1000, int(q.get("page", 1000)))
                entries, size, more = [], 0, False
                for key in sorted(k for k in self.kv if k.startswith(under) and k > since):
                    entry = {"key": key, "value": self.kv[key][0], "mark": self.kv[key][1]}
                    size += json_size(entry)
                    if len(entries) == page or (entries and size > 512 * 1024):
                        more = True
                        break
                    entries.append(entry)
                return 200, {"entries": entries, "truncated": more, "ledger": self.ledger}
            if method == "POST" and path == "/multi":
                status, out = self.multi(body)
                if status == 400:
                    self.refused += 1
                    if self.refused <= 5 or self.refused % 50 == 0:
                        self.record("state service: transaction refused with 400 (%d so far): %s"
                                    % (self.refused, out["error"]))
                return status, out
            if method == "POST" and path == "/holds":
                self.last_permit += 1
                ttl = body["ttl_ms"] / 1000
                self.holds[self.last_permit] = [ttl, time.monotonic() + ttl]
                return 200, {"permit": self.last_permit}
            m = re.fullmatch(r"/holds/(\d+)(/extend)?", path)
            if m:
                permit = int(m.group(1))
                if permit not in self.holds:
                    return 404, {"error": "no such lease"}
                if m.group(2):
                    self.holds[permit][1] = time.monotonic() + self.holds[permit][0]
                else:
                    self.end(permit)
                return 200, {}
            if method == "GET" and path == "/follow":
                under, since = q.get("under", ""), int(q.get("since", 0))
                until = time.monotonic() + int(q.get("wait_ms", 0)) / 1000
                while True:
                    if since < self.oldest:
                        return 410, {"error": "too old", "ledger": self.ledger}
                    events = []
                    for mark, key, value in self.log:
                        if mark > since and key.startswith(under):
                            events.append({"drop": key, "mark": mark} if value is None else
                                          {"set": key, "value": value[0], "mark": mark})
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {"ledger": self.ledger, "events": events}
                    self.changed.wait(left)
        return 400, {"error": "no such request"}


# ---- cloud ----------------------------------------------------------------------------------------------------

class Cloud:
    """`types`: list of maps as in GET /flavors, with `capacity` (machines) as an extra field. `boot(name, type, zone)`
    starts a machine and returns an object with `address` and `stop()`."""

    def __init__(self, address, record, types, boot, list_lag_s):
        self.address, self.record, self.types, self.boot = address, record, types, boot
        self.lag = list_lag_s
        self.machines, self.hires, self.n, self.down = {}, {}, 0, False
        self.lock = threading.Lock()
        self.server = Server(address, self.route)

    def rent(self, type_name, zone, spot, boot_s):
        self.n += 1
        name = "n-%06d" % self.n
        m = {"name_id": name, "build": type_name, "yard": zone, "loaners": spot, "standing": "booting",
             "since": time.monotonic(), "machine": None}
        self.machines[name] = m

        def up():
            time.sleep(boot_s)
            with self.lock:
                if name not in self.machines:
                    return
            machine = self.boot(name, type_name, zone)
            with self.lock:
                m["machine"], m["standing"] = machine, "running"
                gone = name not in self.machines
            if gone:
                machine.stop()

        threading.Thread(target=up, daemon=True).start()
        return name

    def start(self, type_name, zone, count):
        with self.lock:
            return [self.rent(type_name, zone, False, 0) for _ in range(count)]

    def route(self, method, target, data):
        path, _, query = target.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&") if p)
        body = unpack(data) if data else {}
        if self.down:
            return 503, {"error": "trouble"}
        if method == "GET" and path == "/flavors":
            return 200, {"builds": [{k: v for k, v in t.items() if k != "capacity"} for t in self.types]}
        if method == "GET" and path == "/rentals":
            with self.lock:
                out = []
                for name in sorted(self.machines):
                    m = self.machines[name]
                    age = time.monotonic() - m["since"]
                    if name <= q.get("since", "") or age < self.lag:
                        continue
                    up = m["machine"]
                    out.append({"name_id": name, "endpoint": up.address if up else "", "build": m["build"],
                                "yard": m["yard"], "loaners": m["loaners"], "standing": m["standing"], "age_s": age})
                page = min(500, int(q.get("page", 500)))
                return 200, {"barrows": out[:page], "truncated": len(out) > page}
        if method == "POST" and path == "/rentals":
            with self.lock:
                if body["hire"] in self.hires:
                    return 200, {"barrows": self.hires[body["hire"]]}
                t = [t for t in self.types if t["label"] == body["build"]][0]
                used = sum(m["build"] == t["label"] for m in self.machines.values())
                n = min(body["how_many"], t["capacity"] - used)
                if n <= 0 or body["loaners"]:
                    return 503, {"error": "no capacity"}
                names = [self.rent(t["label"], body["yard"], False, t["ready_s"]) for _ in range(n)]
                self.hires[body["hire"]] = names
                self.record("cloud: rented %s (%s)" % (", ".join(names), body["hire"]))
                return 200, {"barrows": names}
        if method == "POST" and path == "/rentals/return":
            for name in body["barrows"]:
                with self.lock:
                    m = self.machines.pop(name, None)
                if m and m["machine"]:
                    self.record("cloud: %s is returned" % name)
                    m["machine"].stop()
            return 200, {}
        return 400, {"error": "no such request"}

    def stop(self):
        self.server.stop()
        for m in list(self.machines.values()):
            if m["machine"]:
                m["machine"].stop()


# ---- worker ---------------------------------------------------------------------------------------------------

class Worker:
    """A machine with its worker, as a state machine with threads. `site.jobs` holds the descriptions that users
    uploaded, with `run_s`, the length of a task."""

    def __init__(self, site, name, kind, zone, controllers):
        self.site, self.name, self.kind, self.zone = site, name, kind, zone
        self.controllers = list(controllers.items())
        self.lease = site.workers["lease_s"]
        self.lock = threading.RLock()
        self.wake = threading.Event()
        self.shift, self.tally, self.baton = 1, 0, 0
        self.lease_from = time.monotonic()
        self.tasks = {}            # (parcel, try) -> map
        self.on, self.sick = True, False
        self.address = free_address()
        self.server = Server(self.address, self.route)
        self.record = site.record
        threading.Thread(target=self.report_loop, daemon=True).start()
        threading.Thread(target=self.tick_loop, daemon=True).start()

    def stop(self):
        with self.lock:
            self.on = False
            for key in list(self.tasks):
                self.gone(key, "the machine is gone")
            self.tasks = {}
        self.server.stop()

    def report(self):
        self.tally += 1
        parcels = []
        for (parcel, number), t in sorted(self.tasks.items()):
            p = {"parcel": parcel, "try": number, "standing": t["standing"]}
            if t["standing"] == "ended":
                p["cause"] = t["cause"]
            parcels.append(p)
        return {"barrow": self.name, "endpoint": self.address, "build": self.kind["label"], "yard": self.zone,
                "loaners": False, "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "recall_s": None, "parcels": parcels}

    def gone(self, key, why):
        t = self.tasks[key]
        if t["standing"] != "ended":
            t["standing"] = "ended"
            if t.get("started"):
                self.site.task_gone(self, key, why)

    def execute(self, orders):
        for o in orders:
            key = (o["parcel"], o["try"])
            if o["verb"] == "launch" and key not in self.tasks:
                self.launch(key)
            elif o["verb"] == "kill" and key in self.tasks and self.tasks[key]["standing"] != "ended":
                self.gone(key, "killed")
                self.tasks[key]["cause"] = "stopped"
            elif o["verb"] == "reap" and key in self.tasks and self.tasks[key]["standing"] == "ended":
                del self.tasks[key]
        if orders:
            self.wake.set()

    def launch(self, key):
        job_id, _, index = key[0].partition("/")
        spec = self.site.jobs.get(job_id)
        t = self.tasks[key] = {"standing": "ended", "cause": "unknown"}
        if spec is None or int(index) >= spec["parcels"]:
            return
        if any(k[0] == key[0] and k != key and v["standing"] != "ended" for k, v in self.tasks.items()):
            t["cause"] = "busy"
            return
        for need, room in (("vcpus", "vcpus"), ("cards", "cards"), ("mem_gb", "mem_gb")):
            used = sum(self.site.jobs[k[0].partition("/")[0]][need] for k, v in self.tasks.items()
                       if k != key and v["standing"] != "ended")
            if used + spec[need] > self.kind[room] + 1e-6:
                t["cause"] = "full"
                return
        t.update(standing="running", cause=None, started=True, spec=spec)
        run_s = spec["run_s"](int(index)) if callable(spec["run_s"]) else spec["run_s"]
        t["end"] = time.monotonic() + run_s if spec["sort"] != "daemon" else None
        if self.sick:
            t["end"] = time.monotonic() + 0.5
        if spec["sort"] == "gang":
            t["standing"], t["end"] = "waiting", None
            t["alone_at"] = time.monotonic() + self.site.workers["gang_wait_s"]
            t["gang"] = self.site.gang(key)
        self.site.task_started(self, key)

    def tick_loop(self):
        while self.on:
            time.sleep(0.02)
            self.tick()

    def tick(self):
        with self.lock:
            now = time.monotonic()
            if not self.on:
                return
            if now - self.lease_from > self.lease:
                for key in list(self.tasks):
                    self.gone(key, "the lease ran out")
                self.tasks = {}
                self.shift += 1
                self.lease_from = now
                self.wake.set()
                return
            for key, t in self.tasks.items():
                gang = t.get("gang")
                if t["standing"] == "waiting":
                    if gang.began:
                        t["standing"] = "running"
                        self.wake.set()
                    elif now > t["alone_at"]:
                        self.gone(key, "alone")
                        t["cause"] = "alone"
                        self.wake.set()
                elif t["standing"] == "running" and gang and not gang.done(now):
                    if gang.lost and now > gang.lost + self.site.workers["gang_peer_s"]:
                        self.gone(key, "peers")
                        t["cause"] = "peers"
                        self.wake.set()
                elif t["standing"] == "running" and gang:
                    self.gone(key, "done")
                    t["cause"] = "done"
                    self.wake.set()
                elif t["standing"] == "running" and t["end"] and now >= t["end"]:
                    t["cause"] = "error" if self.sick else "done"
                    self.gone(key, t["cause"])
                    self.wake.set()

    def answered(self, answer, sent, shift):
        with self.lock:
            self.tick()
            baton = (answer or {}).get("baton")
            if not self.on or baton is None or baton < self.baton or shift != self.shift:
                return
            if baton > self.baton:
                self.baton = baton
                self.wake.set()
            self.lease_from = max(self.lease_from, sent)
            self.execute(answer.get("orders") or [])

    def report_loop(self):
        at = hash(self.name) % len(self.controllers)
        while self.on:
            self.wake.clear()
            with self.lock:
                self.tick()
                report, shift = self.report(), self.shift
            sent = time.monotonic()
            status, answer = call(self.controllers[at][1], "POST", "/hello", report, 4.0)
            if not self.on:
                return
            if status == 200:
                self.answered(answer, sent, shift)
                self.wake.wait(self.site.workers["report_s"])
                time.sleep(max(0, sent + 0.5 - time.monotonic()))
                continue
            foreman = (answer or {}).get("foreman") if status == 421 else None
            known = [i for i, (n, _) in enumerate(self.controllers) if n == foreman and i != at]
            if known:
                at = known[0]
                time.sleep(0.05)
                continue
            at = (at + 1) % len(self.controllers)
            time.sleep(1)

    def route(self, method, path, data):
        with self.lock:
            if not self.on:
                return None, None
            self.tick()
            if method == "GET" and path == "/inspect":
                return 200, self.report()
            if method == "POST" and path == "/commands":
                body = unpack(data)
                if "baton" not in body or "shift" not in body:
                    return 400, {"error": "baton or shift"}
                if body["baton"] < self.baton or body["shift"] != self.shift:
                    return 409, self.report()
                if body["baton"] > self.baton:
                    self.baton = body["baton"]
                    self.wake.set()
                self.execute(body.get("orders") or [])
                return 200, self.report()
        return 400, {"error": "no such request"}


class Gang:
    """The tasks of one attempt of a gang: they start together, and complete together or not at all."""

    def __init__(self, tasks, run_s):
        self.tasks, self.run_s, self.present = tasks, run_s, set()
        self.began, self.lost, self.ended = None, None, False

    def arrived(self, parcel):
        self.present.add(parcel)
        if not self.began and len(self.present) == self.tasks:
            self.began = time.monotonic()

    def left(self, parcel):
        self.present.discard(parcel)
        if self.began and not self.ended and not self.lost:
            self.lost = time.monotonic()

    def done(self, now):
        if self.began and not self.lost and now >= self.began + self.run_s:
            self.ended = True
        return self.ended


class WorkerProcess:
    """A machine that runs the project's own worker, barrowrun-worker."""

    def __init__(self, site, name, kind, zone, controllers):
        self.site, self.name = site, name
        self.address = free_address()
        self.dir = os.path.join(site.dir, "machines", name)
        os.makedirs(self.dir)
        w = site.workers
        settings = {"name": name, "listen": self.address, "type": kind["label"], "zone": zone, "cpus": kind["vcpus"],
                    "gpus": kind["cards"], "mem_gb": kind["mem_gb"], "controllers": controllers,
                    "depot": site.depot, "state_dir": self.dir, "report_s": w["report_s"], "lease_s": w["lease_s"],
                    "gang_wait_s": w["gang_wait_s"], "gang_peer_s": w["gang_peer_s"]}
        path = os.path.join(self.dir, "worker.json")
        with open(path, "w") as f:
            json.dump(settings, f)
        env = dict(os.environ, BARROW_REVIEW_MACHINE=name, BARROW_REVIEW_SITE=site.dir)
        self.process = site.spawn([os.path.join(TOOLS, "barrowrun-worker"), "--config", path], name, env)

    def children(self):
        """The first processes of its tasks."""
        out = []
        for p in self.pids():
            try:
                with open("/proc/%d/stat" % p) as f:
                    if int(f.read().rpartition(")")[2].split()[1]) == self.process.pid:
                        out.append(p)
            except OSError:
                pass
        return out

    def pids(self):
        """The worker and all processes of its tasks, by the environment that they inherit."""
        marks = {b"BARROW_REVIEW_MACHINE=" + self.name.encode(), b"BARROW_REVIEW_SITE=" + self.site.dir.encode()}
        out = []
        for p in os.listdir("/proc"):
            if p.isdigit():
                try:
                    with open("/proc/%s/environ" % p, "rb") as f:
                        if marks <= set(f.read().split(b"\0")):
                            out.append(int(p))
                except OSError:
                    pass
        return out

    def signal(self, number):
        for p in self.pids():
            try:
                os.kill(p, number)
            except OSError:
                pass

    def stop(self):
        for _ in range(50):
            if not self.pids():
                break
            self.signal(signal.SIGKILL)
            time.sleep(0.02)
        self.process.wait()


# ---- site -----------------------------------------------------------------------------------------------------

KDH_COLOMBO = {
    "workers": {"report_s": 1.5, "lease_s": 14.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 39.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16},
    "cloud": {"rps": 2.0, "list_lag_s": 10.0},
    "quota": {"cores": 0.12, "ram_mb": 56.0, "max_sockets": 900},
    "clock_error_ms": 5.0, "restart_s": 4.0, "team": "helpline", "zones": ["colombo-dc"],
}
CLARK_INFLIGHT = {
    "workers": {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 41.0},
    "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
    "cloud": {"rps": 8.0, "list_lag_s": 8.0},
    "quota": {"cores": 0.16, "ram_mb": 104.0, "max_sockets": 1800},
    "clock_error_ms": 250.0, "restart_s": 6.0, "team": "cabinsupply", "zones": ["crk-north"],
}


class Site:
    """Three controllers and their stand-ins, with the settings of a deployment."""

    def __init__(self, case, label="", types=None, own_workers=False, record=None, parent_dir=None,
                 deployment=KDH_COLOMBO):
        self.label, self.deployment = label, deployment
        self.dir = os.path.join(parent_dir, label) if parent_dir else tempfile.mkdtemp(prefix="review-2-")
        os.makedirs(self.dir, exist_ok=True)
        self.depot = os.path.join(self.dir, "depot")
        os.makedirs(self.depot, exist_ok=True)
        self.record = record or Record(os.path.join(case, "record.txt"))
        self.workers = dict(deployment["workers"])
        self.jobs, self.children, self.gangs = {}, [], {}
        self.running, self.starts, self.ends = {}, [], []
        self.task_lock = threading.Lock()
        self.zones, self.types = deployment["zones"], types
        self.teams = [{"name": deployment["team"], "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]
        limits = deployment["state"]
        self.state = State(free_address(), self.record, int(limits["value_kb"]), limits["txn_ops"])
        self.names = ["barrow-%d" % i for i in range(3)]
        self.public = {n: free_address() for n in self.names}
        self.internal = {n: free_address() for n in self.names}
        make = WorkerProcess if own_workers else Worker
        by_name = {t["label"]: t for t in types}
        self.cloud = Cloud(free_address(), self.record, types,
                           lambda name, t, zone: make(self, name, by_name[t], zone, self.public),
                           deployment["cloud"]["list_lag_s"])
        self.controllers, self.operator = {}, None

    # Tasks, as the stand-ins of the workers see them.
    def task_started(self, worker, key):
        gang = worker.tasks[key].get("gang")
        with self.task_lock:
            now = time.monotonic()
            self.running[(worker.name, key)] = now
            self.starts.append((now, worker.name, key))
            if gang:
                gang.arrived(key[0])
        if int(key[0].partition("/")[2]) < (3 if gang else 20):
            self.record("%s starts %s, try %d" % (worker.name, key[0], key[1]))

    def task_gone(self, worker, key, why):
        gang = worker.tasks[key].get("gang")
        with self.task_lock:
            self.running.pop((worker.name, key), None)
            self.ends.append((time.monotonic(), worker.name, key, why))
            if gang:
                gang.left(key[0])
        if int(key[0].partition("/")[2]) < (3 if gang else 20):
            self.record("%s: %s, try %d, is gone: %s" % (worker.name, key[0], key[1], why))

    def gang(self, key):
        job_id = key[0].partition("/")[0]
        with self.task_lock:
            if (job_id, key[1]) not in self.gangs:
                self.gangs[(job_id, key[1])] = Gang(self.jobs[job_id]["parcels"], self.jobs[job_id]["run_s"])
            return self.gangs[(job_id, key[1])]

    def spawn(self, argv, log, env=None, cwd=None):
        out = open(os.path.join(self.dir, log + ".log"), "a")
        p = subprocess.Popen(argv, stdin=subprocess.DEVNULL, stdout=out, stderr=out, env=env, cwd=cwd or ROOT)
        out.close()
        self.children.append(p)
        return p

    def settings(self, name, i):
        return {"node_name": name, "area": self.zones[i % len(self.zones)], "serve_on": self.public[name],
                "internal_addr": self.internal[name],
                "members": [{"node_name": n, "area": self.zones[k % len(self.zones)], "addr": self.internal[n]}
                            for k, n in enumerate(self.names) if n != name],
                "external": {"cloud": self.cloud.address, "state": self.state.address},
                "deployment": {"size": 3, "zones": self.zones, "teams": self.teams, "objectives": [],
                               "workers": self.workers, "state": self.deployment["state"],
                               "cloud": self.deployment["cloud"], "quota": self.deployment["quota"],
                               "clock_error_ms": self.deployment["clock_error_ms"]}}

    def start_controller(self, name):
        i = self.names.index(name)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(name, i), f)
        argv = run_command()
        if self.operator:
            operator = os.path.join(self.dir, name + "-operator.json")
            with open(operator, "w") as f:
                json.dump(self.operator, f)
            argv[1:1] = ["--operator", operator]
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.controllers[name] = self.spawn(argv + [path], name, env)

    def start(self, machines):
        """`machines`: list of (type, zone, count)."""
        for t, zone, count in machines:
            self.cloud.start(t, zone, count)
        for n in self.names:
            self.start_controller(n)

    def ready(self, machines=1, timeout=20):
        """Waits until all controllers answer, one leads, and machines report to it."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answers = [call(self.public[n], "GET", "/submissions/wk-0", timeout=1)[0] for n in self.names]
            with self.state.changed:
                keys = self.state.kv
                sheets = [m for k, v in keys.items() if k.startswith("sheets/") for m in v[0]]
                ok = "leader" in keys and "catalog" in keys and len(sheets) >= machines
            if ok and answers == [404] * 3:
                self.record("%sthe site is up" % (self.label + ": " if self.label else ""))
                return
            time.sleep(0.5)
        raise CannotRun("the site was not up within %d s" % timeout)

    def leader(self):
        with self.state.changed:
            v = self.state.kv.get("leader")
        return v[0]["node"] if v else None

    def kill_controllers(self, names):
        for n in names:
            self.controllers[n].kill()
            self.controllers[n].wait()
        self.record("killed: %s" % ", ".join(names))

    def ended_by_itself(self):
        return [n for n, p in self.controllers.items() if p.poll() is not None]

    # Users. Requests go to the nodes in turn; a node that fails is left out for a moment, as by the load balancer.
    def ask(self, method, path, value=None, timeout=5.0, nodes=None):
        status, answer = 0, None
        for n in nodes or self.rotated():
            status, answer = call(self.public[n], method, path, value, timeout)
            if status != 0:
                return status, answer, n
        return status, answer, None

    def rotated(self):
        self.turn = getattr(self, "turn", 0) + 1
        return [self.names[(self.turn + i) % 3] for i in range(3)]

    def submit(self, spec, run_s=1.0, patience=60):
        """Submits as users do: repeats until an answer is final, for up to 60 s. Returns the last status."""
        self.jobs[spec["name_id"]] = dict(spec, run_s=run_s)
        end = time.monotonic() + patience
        while True:
            status, answer, node = self.ask("POST", "/submissions", spec)
            self.record("user submits %s (%s, %d tasks): %s %s" % (
                spec["name_id"], spec["sort"], spec["parcels"], status, answer))
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            time.sleep(1)

    def poll(self, job_id, quiet=False):
        status, answer, node = self.ask("GET", "/submissions/" + job_id, timeout=2.0)
        if not quiet:
            self.record("user asks for %s: %s %s" % (job_id, status, answer))
        return status, answer

    def wait_done(self, ids, timeout, every=1.0):
        """Polls until all of the jobs are done; returns those that are not after the timeout."""
        left, end = list(ids), time.monotonic() + timeout
        while left and time.monotonic() < end:
            for j in list(left):
                status, answer = self.poll(j)
                if status == 200 and answer["standing"] == "done":
                    left.remove(j)
            if left:
                time.sleep(every)
        return left

    def cancel(self, job_id, timeout=60):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, answer, node = self.ask("POST", "/submissions/%s/cancel" % job_id, {})
            self.record("user cancels %s: %s %s" % (job_id, status, answer))
            if status == 200:
                return answer["standing"]
            time.sleep(1)
        return None

    def stop(self):
        for p in self.controllers.values():
            p.kill()
        self.cloud.stop()
        self.state.server.stop()
        for p in self.children:
            if p.poll() is None:
                p.kill()
            p.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.dir, file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def run_command():
    with open(os.path.join(ROOT, "deploy", "service.toml")) as f:
        run = re.search(r'^run\s*=\s*"([^"]*)"', f.read(), re.M).group(1)
    argv = shlex.split(run)
    argv[0] = os.path.join(ROOT, argv[0])
    return argv


def job(job_id, sort="sweep", parcels=1, vcpus=1.0, mem_gb=1.0, **more):
    spec = {"name_id": job_id, "docket": "rebuild", "crew": KDH_COLOMBO["team"], "sort": sort, "rank": "normal",
            "parcels": parcels, "vcpus": float(vcpus), "cards": 0.0, "mem_gb": float(mem_gb), "cargo": "img-1",
            "image_gb": 0.0, "builds": None, "yard": None, "same_place": False, "spread": False, "loaners": False,
            "haul_s": 1.0, "waymark_s": 0.0, "stow_s": 0.0, "due_s": None}
    spec.update(more)
    return spec


def machine_type(label="slab16", vcpus=16, mem_gb=64, cards=0, zones=("colombo-dc",), capacity=4):
    return {"label": label, "vcpus": float(vcpus), "cards": float(cards), "mem_gb": float(mem_gb), "local_gb": 40.0,
            "fetch_gb_per_s": 0.4, "price": 1.11, "spot_price": 0.44, "ready_s": 2.0, "yards": list(zones),
            "capacity": capacity}


class CannotRun(Exception):
    pass


def main(case_file, run):
    """Runs `run(case_dir, sites, record)`, which returns a list of what broke the rule. `sites` collects the sites
    to be stopped. Status 1: broken, 0: held, 2: could not run."""
    case = os.path.dirname(os.path.abspath(case_file))
    record = Record(os.path.join(case, "record.txt"))
    sites, result = [], [2]
    record("TROUBLE=%d" % TROUBLE)

    def body():
        try:
            broken = run(case, sites, record)
            for b in broken:
                record("BROKEN: " + b)
            record("the rule was broken" if broken else "the rule held")
            result[0] = 1 if broken else 0
        except CannotRun as e:
            record("could not run: %s" % e)
        except Exception as e:  # noqa: BLE001
            import traceback
            record("could not run: %s" % traceback.format_exc())

    def ended(number, frame):
        record("ended by signal %d" % number)
        for x in sites:
            x.stop()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended)
    t = threading.Thread(target=body, daemon=True)
    t.start()
    while t.is_alive() and time.monotonic() - START < LIMIT_S:
        t.join(0.2)
    if t.is_alive():
        record("could not run: not over within %d s" % LIMIT_S)
    for s in sites:
        s.stop()
    sys.stdout.flush()
    os._exit(result[0])
