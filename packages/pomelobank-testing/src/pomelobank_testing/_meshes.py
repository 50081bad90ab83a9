"""The users' two meshes: their data centres, services and targets."""

import attrs


@attrs.frozen
class MeshService:
    """A service of a mesh.

    Attributes:
        name: Name of the service.
        targets: Number of the service's targets.
        path: Path prefix of the service's route.
    """

    name: str
    targets: int
    path: str


@attrs.frozen
class Mesh:
    """A mesh.

    Attributes:
        name: Name of the mesh.
        data_centres: Names of the data centres.
        services: The services.
        slots: Requests that a target runs at once.
    """

    name: str
    data_centres: tuple[str, ...]
    services: tuple[MeshService, ...]
    slots: int

    def document(self) -> dict[str, object]:
        """Returns the configuration document of the mesh."""
        return {
            "author": "demo",
            "reason": f"first configuration of {self.name}",
            "services": [{"name": item.name} for item in self.services],
            "upstreams": [
                {"name": f"{item.name}-main", "service": item.name}
                for item in self.services
            ],
            "routes": [
                {
                    "name": item.name,
                    "service": item.name,
                    "path_prefix": item.path,
                    "destinations": [
                        {"upstream": f"{item.name}-main", "weight": 1}
                    ],
                }
                for item in self.services
            ],
        }


MESHES = {
    "derwent": Mesh(
        "derwent",
        ("hobart", "launceston", "devonport", "burnie"),
        (
            MeshService("counter-desk", 4, "/stock"),
            MeshService("replenish", 4, "/reorders"),
            MeshService("range-ledger", 5, "/reports"),
        ),
        20,
    ),
    "lone-star": Mesh(
        "lone-star",
        ("austin-a", "austin-b", "round-rock", "san-marcos"),
        (
            MeshService("manual-reader", 4, "/manuals"),
            MeshService("compliance-desk", 4, "/acknowledgements"),
            MeshService("records-vault", 4, "/archive"),
        ),
        10,
    ),
}
