"""Idempotency keys within the services that callers address."""


def scoped_key(service: str, idempotency_key: str) -> str:
    """Returns a caller's key within the service that it addressed.

    The service is part of it, not the route: a route that is renamed between
    two sendings of a request must not make the second look like a new one.
    """
    return f"{service}\n{idempotency_key}"


def service_of(scoped: str) -> str:
    """Returns the service of a scoped key.

    >>> service_of(scoped_key("replenish", "order-7"))
    'replenish'
    """
    return scoped.partition("\n")[0]
