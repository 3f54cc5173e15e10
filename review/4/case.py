"""An accepted job with a nested field that nobody knows; then all controllers crash."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "site-2"))
import site2
from site2 import TROUBLE

LEVELS = 22   # lists within lists in the unknown field: 44 characters of JSON, and 23 levels in the whole body
FAILED_S = 90  # `forgotten`: all polls for a job fail for 90 s while most others are answered


def run(case, sites, record):
    site = site2.Site(case, record=record, types=[site2.machine_type()])
    sites.append(site)
    site.start([("slab16", "colombo-dc", 2)])
    site.ready(2)
    nested = []
    for _ in range(LEVELS - 1):
        nested = [nested]
    others = ["wk-000101", "wk-000103"]
    with_field = site2.job("wk-000102", parcels=2, labels=nested)
    for spec, run_s in ((site2.job(others[0], parcels=4), 8.0), (with_field, 8.0),
                        (site2.job(others[1], parcels=4), 8.0)):
        status = site.submit(spec, run_s)
        if status not in (200, 201):
            raise site2.CannotRun("%s was not accepted" % spec["name_id"])
    time.sleep(1)
    if TROUBLE:
        site.kill_controllers(site.names)
        time.sleep(site2.KDH_COLOMBO["restart_s"])
        for n in site.names:
            site.start_controller(n)
        record("all controllers are back")
    back = time.monotonic()
    failed_since, last_failed, answered, asked = None, None, 0, 0
    done = set()
    while time.monotonic() - back < FAILED_S + 4:
        status, answer = site.poll("wk-000102")
        now = time.monotonic()
        if status == 200:
            failed_since = None
            if answer["standing"] == "done":
                done.add("wk-000102")
        else:
            failed_since, last_failed = failed_since or now, now
            if status == 404:
                return ["an accepted job was answered 404"]
        for j in others:
            status, answer = site.poll(j)
            asked += 1
            answered += status == 200
            if status == 200 and answer["standing"] == "done":
                done.add(j)
        if len(done) == 3:
            break
        time.sleep(4)
    broken = []
    if failed_since and last_failed - failed_since >= FAILED_S and answered * 2 > asked:
        broken.append("forgotten: all polls for wk-000102 failed for %.0f s, while %d of %d polls for the other jobs "
                      "were answered" % (last_failed - failed_since, answered, asked))
    starts = [s for s in site.starts if s[0] > back]
    record("%d of 3 jobs done; %d tasks started since the controllers are back" % (len(done), len(starts)))
    for j in others:
        if j not in done:
            broken.append("an accepted job must run even if all nodes fail: %s, whose tasks take 8 s, is not done "
                          "%.0f s after the controllers came back" % (j, time.monotonic() - back))
    return broken


site2.main(__file__, run)
