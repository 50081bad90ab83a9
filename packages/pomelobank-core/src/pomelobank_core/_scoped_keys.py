"""Idempotency keys that are scoped to the addressed service."""


def scoped_key(service: str, idempotency_key: str, workspace: str = "") -> str:
    r"""Returns a caller's idempotency key, scoped to the addressed service.

    The scoped key contains the service and not the route, so that a request
    that is sent again after its route was renamed still has the same key. It
    contains the workspace, because a caller that sends the key of another
    workspace's request must not get the stored response to that request.

    Args:
        service: The addressed service.
        idempotency_key: The caller's key; as the value of a header it contains
            no line break.
        workspace: Name of the caller's workspace; empty without one.

    >>> scoped_key("replenish", "order-7", "acme")
    'replenish\nacme\norder-7'
    """
    if workspace:
        return f"{service}\n{workspace}\n{idempotency_key}"
    return f"{service}\n{idempotency_key}"


def service_of(scoped: str) -> str:
    """Returns the service of a scoped key.

    >>> service_of(scoped_key("replenish", "order-7"))
    'replenish'
    """
    return scoped.partition("\n")[0]
