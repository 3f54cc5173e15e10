#!/usr/bin/env python3
"""1,500 connections that send half a header and stop, against one controller on loopback: how health checks, a worker's
report and a user fare meanwhile. usage: silent_peers.py BARROWRUN [CONNECTIONS]"""
import json, socket, subprocess, sys, tempfile, time

program, count = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 1500
ports = []
for _ in range(5):
    s = socket.socket(); s.bind(("127.0.0.1", 0)); ports.append(s.getsockname()[1]); s.close()
settings = {"node_name": "barrow-0", "area": "z", "serve_on": "127.0.0.1:%d" % ports[0],
            "internal_addr": "127.0.0.1:%d" % ports[1], "members": [],
            "external": {"cloud": "127.0.0.1:%d" % ports[2], "state": "127.0.0.1:%d" % ports[3]},
            "deployment": {"size": 1, "zones": ["z"], "teams": [{"name": "t"}],
                           "workers": {"report_s": 3, "lease_s": 22, "gang_wait_s": 35, "gang_peer_s": 4, "cancel_s": 47},
                           "state": {"rps": 200, "write_rps": 80, "value_kb": 32, "txn_ops": 32},
                           "cloud": {"rps": 4, "list_lag_s": 3},
                           "quota": {"cores": 0.12, "ram_mb": 104, "max_sockets": 2500}, "clock_error_ms": 25}}
with tempfile.NamedTemporaryFile("w", suffix=".json") as f:
    json.dump(settings, f); f.flush()
    node = subprocess.Popen([program, "--config", f.name], stderr=subprocess.DEVNULL)
    try:
        time.sleep(0.5)
        held = []
        for i in range(count):
            s = socket.socket(); s.bind(("127.0.0.%d" % (2 + i % 3), 0)); s.connect(("127.0.0.1", ports[0]))
            s.send(b"GET /submissions/wk-1 HTTP/1.1\r\nHost: x"); held.append(s)
        answered = {"/healthz": 0, "/submissions/wk-1": 0}
        slowest = 0.0
        for i in range(50):
            for path in answered:
                t = time.time()
                try:
                    s = socket.socket(); s.settimeout(3); s.bind(("127.0.0.9", 0)); s.connect(("127.0.0.1", ports[0]))
                    s.send(("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path).encode())
                    answered[path] += s.recv(100).startswith(b"HTTP/1.1 ")
                    s.close()
                except OSError: pass
                slowest = max(slowest, time.time() - t)
        print("%d connections with half a header; of 50 asked: %s; slowest %.0f ms" % (count, answered, slowest * 1000))
    finally:
        node.kill(); node.wait()
