"""Headers that callers, nodes and targets exchange."""

import attrs

from pomelobank_node._http_messages import CONTENT_LENGTH


@attrs.frozen
class HttpConventions:
    """Names and formats of the headers that the node reads and writes.

    All names are in lower case; a header with an empty name is not used. The
    defaults are the product's own names. A platform whose callers and targets
    existed before the mesh replaces them by the names already in use there.

    Attributes:
        service: Names the service; takes precedence over the host header.
        timeout: Time in ms that the caller waits for the response. The node
            sends the remaining time to the target under the same name.
        request_id: Id that the log lines of all nodes state for a request.
        zero_timeout_is_expired: Whether a time-out below 1 ms means that the
            caller's deadline has passed. Otherwise such a time-out is rejected
            as a bad request.
        retry: Marks a request that is sent as part of another request's retry.
        idempotency_key: The caller's idempotency key.
        origin: Upstream of the instance that the request came from; sent to
            targets.
        expected_instance: Identifies the instance that may run the request.
        workspace: Names the workspace of a request to its target. Without
            workspaces in the configuration, a caller's value is forwarded like
            any other header.
        not_run: Marks a target's response to a request that it did not run.
        rate_limit: In a target's response: the requests per second that the
            target takes from all nodes together, until a response names none.
        leaving: Marks the responses of a target that leaves; its value is `1`.
        response_marker: Present in every response that the target's own code
            produced. A successful response without the marker did not come
            from the target.
        echoes_request_id: Whether targets repeat the request's id in their
            responses.
        allows_close_delimited: Whether the end of the connection may mark the
            end of a target's response.
        fractional_retry_after: Whether callers accept fractions of a second in
            the Retry-After header.
        stripped: Headers of callers that are not forwarded.
    """

    service: bytes = b"x-pomelobank-service"
    timeout: bytes = b"x-pomelobank-timeout-ms"
    request_id: bytes = b"x-request-id"
    retry: bytes = b"x-pomelobank-retry"
    idempotency_key: bytes = b"idempotency-key"
    origin: bytes = b""
    expected_instance: bytes = b""
    workspace: bytes = b"x-pomelobank-workspace"
    not_run: bytes = b""
    rate_limit: bytes = b"x-pomelobank-rate-limit"
    leaving: bytes = b"x-pomelobank-leaving"
    response_marker: bytes = b""
    echoes_request_id: bool = False
    allows_close_delimited: bool = False
    fractional_retry_after: bool = False
    zero_timeout_is_expired: bool = False
    stripped: frozenset[bytes] = attrs.field(init=False)

    @stripped.default
    def _default_stripped(self) -> frozenset[bytes]:
        # The node sets these headers itself. If a caller's values were
        # forwarded, a target would take them for the node's.
        set_by_node = {
            self.service,
            self.timeout,
            self.request_id,
            self.origin,
            self.expected_instance,
            CONTENT_LENGTH,
        }
        return frozenset(set_by_node - {b""})
