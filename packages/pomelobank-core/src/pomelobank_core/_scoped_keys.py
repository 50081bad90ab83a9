"""Idempotency keys that are scoped to the addressed service."""


def scoped_key(service: str, idempotency_key: str) -> str:
    """Returns a caller's idempotency key, scoped to the addressed service.

    The scoped key contains the service and not the route, so that a request
    that is sent again after its route was renamed still has the same key.
    """
    return f"{service}\n{idempotency_key}"


def service_of(scoped: str) -> str:
    """Returns the service of a scoped key.

    >>> service_of(scoped_key("replenish", "order-7"))
    'replenish'
    """
    return scoped.partition("\n")[0]
