"""A large array of which every other task is done is cancelled; then another job."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "site-2"))
import site2
from site2 import TROUBLE

TASKS, RANGES, WATCHED_S = 100000, 1150, 50


def run(case, sites, record):
    kind = site2.machine_type("hangarrack", vcpus=64, mem_gb=512, zones=("crk-north",), capacity=9)
    kind["ready_s"] = 25.0
    site = site2.Site(case, record=record, types=[kind], deployment=site2.CLARK_INFLIGHT)
    sites.append(site)
    site.start([("hangarrack", "crk-north", 9)])
    site.ready(9)
    more = {"crew": "cabinsupply", "docket": "trolleysettle"}
    large = site2.job("wk-000601", parcels=TASKS, vcpus=0.1, mem_gb=0.2, haul_s=40.0, **more)
    # Tasks with even numbers take half a second, the others 5 minutes.
    if site.submit(large, lambda i: 0.5 if i % 2 == 0 else 300.0) not in (200, 201):
        raise site2.CannotRun("the job was not accepted")
    end = time.monotonic() + 45
    while len({k[0] for (_, _, k, why) in site.ends if why == "done"}) < RANGES:
        if time.monotonic() > end:
            raise site2.CannotRun("too few tasks were done")
        time.sleep(0.5)
    record("%d tasks with even numbers are done, and %d run" % (
        len({k[0] for (_, _, k, why) in site.ends if why == "done"}), len(site.running)))
    time.sleep(2)
    small = site2.job("wk-000602", parcels=2, vcpus=1, mem_gb=1, rank="production", **more)
    broken = []
    if TROUBLE:
        began = time.monotonic()
        standing = site.cancel("wk-000601", 40)
        record("cancelled: %s after %.1f s" % (standing, time.monotonic() - began))
    if site.submit(small, 1.0) not in (200, 201):
        raise site2.CannotRun("the small job was not accepted")
    left = site.wait_done(["wk-000602"], WATCHED_S, 5.0)
    record("the state service refused %d transactions with 400" % site.state.refused)
    if TROUBLE and standing is None:
        broken.append("a cancellation, repeated for 40 s, got no answer but 503")
    if left:
        broken.append("an accepted job must run: wk-000602, for which nine machines have room, is not done after %d s"
                      % WATCHED_S)
    return broken


site2.main(__file__, run)
