"""Every instrument of the node appears on its metrics page."""

from pathlib import Path

from pomelobank_node import INSTRUMENTS, SIDECAR_ONLY
from pomelobank_testing import MESHES, TestMesh, UpstreamService

MESH = MESHES["derwent"]
DOCS = Path(__file__).parents[5] / "docs"


def page_name(name: str) -> str:
    return name.replace(".", "_")


async def test_every_instrument_is_on_the_page() -> None:
    async with TestMesh() as mesh:
        upstream = UpstreamService("a", "counter-desk-main")
        await mesh.add_node("a", "hobart", upstream)
        await mesh.apply("a", MESH.document())
        await mesh.wait_members(1)
        await mesh.request("a", "counter-desk", "/stock/1")
        await mesh.request("a", "nobody", "/stock/1")
        page = await mesh.metrics("a")
        names = {line.split("{")[0] for line in page.splitlines()}
        missing = [
            item.name
            for item in INSTRUMENTS
            if not item.label
            and item not in SIDECAR_ONLY
            and not any(name.startswith(page_name(item.name)) for name in names)
        ]
        assert missing == []
        assert 'outcome="answered"} 1.0' in page
        assert 'outcome="no_route"} 1.0' in page
