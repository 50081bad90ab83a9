"""The headers by which callers, nodes and targets understand each other."""

import attrs

from pomelobank_node._http_messages import CONTENT_LENGTH


@attrs.frozen
class HttpConventions:
    """Names of headers, all in lower case; an empty name is not used.

    The defaults are the product's own. A platform whose callers and targets
    were there before the mesh has names of its own for the same things.

    Attributes:
        service: Names the service where the host does not.
        timeout: How many ms the caller waits; the target is told what is left.
        request_id: Id that follows a request through every log.
        zero_timeout_is_expired: Whether a time-out of nothing says that the
            caller's time is up; elsewhere it is a mistake.
        retry: Marks a request that is part of another's retry.
        idempotency_key: The caller's key.
        origin: Upstream of the instance that the request began on, as targets
            are told it.
        expected_instance: Start of the target that may run the request.
        not_run: Marks a target's answer that says it has not run the request.
        response_marker: Stands in every answer that a target's own work has
            made; an answer of success without it is not the target's.
        echoes_request_id: Whether targets repeat the request's id in their
            answers.
        allows_close_delimited: Whether a target's answer may end with its
            connection.
        fractional_retry_after: Whether callers read fractions of a second.
        stripped: Headers of callers that are not passed on.
    """

    service: bytes = b"x-pomelobank-service"
    timeout: bytes = b"x-pomelobank-timeout-ms"
    request_id: bytes = b"x-request-id"
    retry: bytes = b"x-pomelobank-retry"
    idempotency_key: bytes = b"idempotency-key"
    origin: bytes = b""
    expected_instance: bytes = b""
    not_run: bytes = b""
    response_marker: bytes = b""
    echoes_request_id: bool = False
    allows_close_delimited: bool = False
    fractional_retry_after: bool = False
    zero_timeout_is_expired: bool = False
    stripped: frozenset[bytes] = attrs.field(init=False)

    @stripped.default
    def _not_passed_on(self) -> frozenset[bytes]:
        # A caller that could set these would speak in the system's name.
        own = {
            self.service,
            self.timeout,
            self.request_id,
            self.origin,
            self.expected_instance,
            CONTENT_LENGTH,
        }
        return frozenset(own - {b""})
