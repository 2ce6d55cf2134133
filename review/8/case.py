"""Every process is killed after a runner's end was acknowledged; an old heartbeat comes late."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import site_2 as s

# Seconds after the acknowledgement of the runner's end.
KILLED_AT, BACK_AT, LATE_AT = 1.0, 1.5, 5.5
# A heartbeat that the network holds up was sent so long before.
SENT_BEFORE = 0.3
PACE = 0.05


async def get(site, gateway, sent):
    headers = s.request_headers(1500)
    sent[headers[1][1]] = time.monotonic()
    try:
        answer = await s.call(gateway.at(site.ports["front"]), "GET", "/read/x", headers)
        return answer.status
    except (OSError, TimeoutError, ValueError, EOFError) as error:
        return type(error).__name__


async def case(site):
    core = site.add_core()
    gateways = [site.add("gateway", number) for number in range(3)]
    leaving = site.add_runner("read", core, zone=site.zones[0])
    others = [site.add_runner("read", core, zone=zone) for zone in site.zones[1:]]
    routes = [s.route("read", "read", "/read/")]
    await site.configure(core, s.document(routes, ["read"]), 30.0)
    for gateway in gateways:
        await site.until(lambda g=gateway: site.is_ready(g), f"{gateway.name} ready")
    await asyncio.sleep(s.CONTACT + 1.0)
    # The heartbeat was sent while the runner was ready, and arrives some seconds later.
    late_seconds = SENT_BEFORE + LATE_AT
    leaving.order(f"late {core[2].at(site.ports['control'])} {late_seconds}")
    await asyncio.sleep(SENT_BEFORE)
    leaving.order("leave")
    acknowledged = await gone_since(leaving)
    site.record(f"runner {leaving.id}: its end is acknowledged")
    await asyncio.sleep(acknowledged + KILLED_AT - time.monotonic())
    if s.TROUBLE:
        for machine in site.machines:
            machine.send(signal.SIGKILL)
        for machine in site.machines:
            machine.process.wait()
        await asyncio.sleep(acknowledged + BACK_AT - time.monotonic())
        for machine in site.machines:
            machine.bootstrap = False
            machine.start()
    # Machines are in touch after contact-ms, or twice that after a fault that took the core.
    in_touch = acknowledged + BACK_AT + 2 * s.CONTACT + 0.2
    await asyncio.sleep(in_touch - time.monotonic())
    for gateway in gateways:
        await site.until(lambda g=gateway: site.is_ready(g), f"{gateway.name} ready", 1.0)
    sent, answers = {}, []
    site.record(f"the clients begin {time.monotonic() - acknowledged:.2f} s after that")
    for gateway in itertools.islice(itertools.cycle(gateways), 30):
        answers.append(await get(site, gateway, sent))
        await asyncio.sleep(PACE)
    site.record(f"answers: {dict((a, answers.count(a)) for a in set(answers))}")
    for line in leaving.lines():
        if line["what"] != "run" or line["id"] in sent:
            site.record(f"runner {leaving.id}, {line['at'] - acknowledged:.2f} s after: {line}")
    late = [run for run in leaving.runs() if run["id"] in sent]
    on = sum(run["id"] in sent for other in others for run in other.runs())
    site.record(f"{len(late)} requests reached the runner that is gone, {on} the others")
    if not late and not on:
        raise s.CannotRun("no request was served")
    return not late


async def gone_since(runner):
    """Return when the end of a runner was acknowledged."""
    for _ in range(100):
        for line in runner.lines():
            if line.get("state") == "gone" and line["what"] == "acknowledged":
                return line["at"]
        await asyncio.sleep(0.02)
    raise s.CannotRun("the end of the runner was not acknowledged")


s.run(case, Path(__file__).resolve().parent / "record.txt")
