"""Sum the target time by stage, pipeline or customer from the gateways' metrics."""

import asyncio
import re

import aiohttp

_LINE = re.compile(r"^(traystall_(?:busy|wasted)_seconds_total)\{(.*)\} (\S+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')
_TIMEOUT_SECONDS = 4.0
GROUPS = ("stage", "pipeline", "customer")


async def read_costs(gateways, by: str) -> list[dict]:
    """Return busy and wasted seconds of all gateways, grouped by one label."""
    pages = await asyncio.gather(*(_read(gateway.address) for gateway in gateways))
    totals: dict[str, dict[str, float]] = {}
    for page in pages:
        add_page(totals, page, by)
    return [
        {
            by: name,
            "busy_seconds": round(row["busy"], 3),
            "wasted_seconds": round(row["wasted"], 3),
        }
        for name, row in sorted(totals.items())
    ]


def add_page(totals: dict[str, dict[str, float]], page: str, by: str) -> None:
    """Add one gateway's metrics page to `totals`."""
    for line in page.splitlines():
        match = _LINE.match(line)
        if match is None:
            continue
        labels = dict(_LABEL.findall(match[2]))
        row = totals.setdefault(labels.get(by, ""), {"busy": 0.0, "wasted": 0.0})
        kind = "busy" if "busy" in match[1] else "wasted"
        row[kind] += float(match[3])


async def _read(address):
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/metrics") as response,
        ):
            return await response.text()
    except (aiohttp.ClientError, TimeoutError):
        return ""
