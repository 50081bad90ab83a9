"""Tests of the command line against a fake node with prepared replies."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from concurrent import futures
from pathlib import Path

import attrs
import grpc
import pytest

from pomelobank_cli import ExitStatus, main
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated import operator_pb2_grpc as pb_grpc

DOCUMENT = """
services:
  - name: desk
upstreams:
  - {name: desk-main, service: desk}
routes:
  - name: stock
    service: desk
    path_prefix: /stock
    destinations: [{upstream: desk-main, weight: 1}]
"""
PROBLEM = pb.ChangeProblem(
    kind="missing_reference", object="route/stock", message="points at nothing"
)


@attrs.define(eq=False)
class FakeNode(pb_grpc.OperatorServicer):
    config: pb.GetConfigReply = attrs.field(factory=pb.GetConfigReply)
    reply: pb.ApplyReply = attrs.field(factory=pb.ApplyReply)
    status: pb.StatusReply = attrs.field(factory=pb.StatusReply)
    apply_requests: list[pb.ApplyRequest] = attrs.field(factory=list)
    address: str = ""
    breaks_connection: bool = False

    def GetConfig(self, request, context):
        return self.config

    def Apply(self, request, context):
        self.apply_requests.append(request)
        if self.breaks_connection:
            context.abort(grpc.StatusCode.UNAVAILABLE, "stream broke")
        return self.reply

    def GetChange(self, request, context):
        return self.reply

    def GetStatus(self, request, context):
        return self.status


@pytest.fixture
def node() -> Iterator[FakeNode]:
    fake = FakeNode()
    server = grpc.server(futures.ThreadPoolExecutor(2))
    pb_grpc.add_OperatorServicer_to_server(fake, server)
    port = server.add_insecure_port("127.0.0.1:0")
    fake.address = f"127.0.0.1:{port}"
    server.start()
    yield fake
    server.stop(None)


@pytest.fixture
def document(tmp_path: Path) -> Path:
    path = tmp_path / "mesh.yaml"
    path.write_text(DOCUMENT)
    return path


def run(node: FakeNode, *arguments: object) -> int:
    return main(["--node", node.address, *map(str, arguments)])


def objects() -> pb.GetConfigReply:
    route = pb.Route(
        name="stock",
        service="desk",
        path_prefix="/stock",
        destinations=[pb.Destination(upstream="desk-main", weight=1)],
        timeout_ms=5000,
        traffic_class="interactive",
    )
    upstream = pb.Upstream(name="desk-main", service="desk")
    return pb.GetConfigReply(
        version=3,
        objects=[
            pb.ConfigObject(service=pb.Service(name="desk"), revision=1),
            pb.ConfigObject(upstream=upstream, revision=1),
            pb.ConfigObject(route=route, revision=3),
        ],
    )


@pytest.mark.parametrize(
    ("reply", "status", "expected_text"),
    [
        pytest.param(
            pb.ApplyReply(status=pb.CHANGE_ACCEPTED, version=7),
            ExitStatus.OK,
            "accepted: version 7",
            id="accepted",
        ),
        pytest.param(
            pb.ApplyReply(status=pb.CHANGE_REJECTED, problems=[PROBLEM]),
            ExitStatus.REJECTED,
            "route/stock: points at nothing (missing_reference)",
            id="rejected",
        ),
        pytest.param(
            pb.ApplyReply(status=pb.CHANGE_UNKNOWN, change_id="c9"),
            ExitStatus.UNKNOWN,
            "ask again with 'pomelobank change c9'",
            id="unknown",
        ),
    ],
)
def test_apply_reports_the_outcome(
    node: FakeNode,
    document: Path,
    capsys: pytest.CaptureFixture[str],
    reply: pb.ApplyReply,
    status: ExitStatus,
    expected_text: str,
) -> None:
    node.reply = reply
    assert run(node, "apply", document) == status
    assert expected_text in capsys.readouterr().out


def test_apply_sends_only_changed_objects(
    node: FakeNode, document: Path
) -> None:
    node.config = objects()
    node.config.objects[2].route.timeout_ms = 100
    run(node, "apply", document)
    (request,) = node.apply_requests
    (operation,) = request.operations
    assert operation.expected_revision == 3
    assert operation.object.route.timeout_ms == 5000


def test_apply_without_a_difference_sends_nothing(
    node: FakeNode, document: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    node.config = objects()
    assert run(node, "apply", document) == ExitStatus.OK
    assert node.apply_requests == []
    assert "unchanged" in capsys.readouterr().out


def test_get_as_yaml_can_be_applied_again(
    node: FakeNode, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    node.config = objects()
    assert run(node, "get", "--output", "yaml") == ExitStatus.OK
    path = tmp_path / "before.yaml"
    path.write_text(capsys.readouterr().out)
    assert run(node, "apply", path, "--prune") == ExitStatus.OK
    assert node.apply_requests == []


def test_prune_deletes_objects_that_the_file_does_not_contain(
    node: FakeNode, tmp_path: Path
) -> None:
    node.config = objects()
    path = tmp_path / "small.yaml"
    path.write_text("services: [{name: desk}]")
    run(node, "apply", path, "--prune")
    (request,) = node.apply_requests
    kinds = [item.object.WhichOneof("object") for item in request.operations]
    assert kinds == ["upstream", "route"]
    assert {item.kind for item in request.operations} == {pb.Operation.DELETE}


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        pytest.param("routes: {}", "routes: expected a list", id="type"),
        pytest.param("colour: red", "colour: unknown key", id="unknown key"),
        pytest.param("a: [", "is not YAML", id="not YAML"),
        pytest.param("services: [{}]", "services[0].name", id="missing"),
        pytest.param(
            "delete: [route/none]", "'route/none' does not exist", id="delete"
        ),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(
    node: FakeNode,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    expected_text: str,
) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    assert run(node, "apply", path) == ExitStatus.BAD_INPUT
    captured = capsys.readouterr().err
    assert expected_text in captured
    assert captured.count("\n") == 1
    assert node.apply_requests == []


def test_an_unreachable_node_is_reported(
    capsys: pytest.CaptureFixture[str],
) -> None:
    status = main(["--node", "127.0.0.1:9", "--call-timeout", "1", "get"])
    assert status == ExitStatus.UNREACHABLE
    assert "try another node" in capsys.readouterr().err


def test_a_node_that_crashes_before_its_reply_leaves_the_outcome_unknown(
    node: FakeNode, document: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Failure: a node publishes a change and crashes before it replies.

    The output must report the outcome as unknown and name the change id, so
    that the operator can query the outcome.
    """
    node.breaks_connection = True
    status = run(node, "apply", document, "--change-id", "c7")
    assert status == ExitStatus.UNKNOWN
    assert "pomelobank change c7" in capsys.readouterr().out


def test_json_contains_versions_as_integers(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    node.config = objects()
    assert run(node, "get", "--output", "json") == ExitStatus.OK
    shown = json.loads(capsys.readouterr().out)
    assert shown["version"] == 3
    assert [item["revision"] for item in shown["objects"]] == [1, 1, 3]


def test_a_closed_output_pipe_ends_the_command_without_an_error(
    node: FakeNode,
) -> None:
    """Failure: the output is piped into a command that exits after a few lines.

    Python then raises BrokenPipeError at the next flush. The command must end
    with status 0 and print no error.
    """
    node.config = objects()
    command = [sys.executable, "-m", "pomelobank_cli", "--node", node.address]
    process = subprocess.Popen(
        [*command, "get"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert process.stdout is not None
    process.stdout.close()
    assert process.stderr is not None
    assert process.stderr.read() == b""
    assert process.wait() == ExitStatus.OK


def test_status_names_the_nodes_that_lack_the_version(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    node.status.node = "a"
    node.status.members.add(node="a", state="ready", version=5)
    node.status.members.add(node="b", state="suspect", version=4)
    node.status.members.add(node="c", state="gone", version=1)
    arguments = ("--wait", 5, "--timeout", 0, "--output", "json")
    assert run(node, "status", *arguments) == ExitStatus.TIMED_OUT
    shown = json.loads(capsys.readouterr().out)
    assert shown["behind"] == {"b": "does not answer other members"}
