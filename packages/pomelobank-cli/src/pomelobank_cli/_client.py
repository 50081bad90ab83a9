"""Calls of a node."""

import attrs
import grpc

from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated.operator_pb2_grpc import OperatorStub

_RETRY_AFTER_MS = 1000
# Interval between the calls of a command that waits for a version.
POLL_PERIOD_S = 0.1


class InputError(ValueError):
    """Input of the operator that no request can be made from."""


@attrs.frozen
class Client:
    """A connection to one node.

    Attributes:
        stub: Stub of the node's remote procedure calls.
        timeout_s: Time-out of one call, in seconds.
    """

    stub: OperatorStub
    timeout_s: float

    @classmethod
    def connect(cls, address: str, timeout_s: float) -> "Client":
        """Returns a client of the node at an address of the form IP:PORT."""
        return cls(OperatorStub(grpc.insecure_channel(address)), timeout_s)


def send(client: Client, request: pb.ApplyRequest) -> pb.ApplyReply:
    """Sends a change; a call without a reply has an unknown outcome."""
    # The node may have published the change before it crashed or the
    # connection broke. The output therefore names the change id: an operator
    # without the id could not query the outcome, and a second change could
    # overwrite a change that another operator made in between.
    try:
        reply: pb.ApplyReply = client.stub.Apply(
            request, timeout=client.timeout_s
        )
    except grpc.RpcError:
        return pb.ApplyReply(
            change_id=request.change_id,
            status=pb.CHANGE_UNKNOWN,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    return reply
