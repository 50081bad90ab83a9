"""Tests of the commands for keys and workspaces against a fake node."""

import hashlib
import io
import types
from collections.abc import Iterator
from concurrent import futures
from pathlib import Path

import attrs
import grpc
import pytest

from pomelobank_cli import ExitStatus, main
from pomelobank_schema.generated import operator_pb2 as pb
from pomelobank_schema.generated import operator_pb2_grpc as pb_grpc

OLD = "ab" * 32
SECRET = "wonderful-secret"
SECRET_DIGEST = hashlib.sha256(SECRET.encode()).hexdigest()


@attrs.define(eq=False)
class FakeNode(pb_grpc.OperatorServicer):
    digests: list[str] = attrs.field(factory=lambda: [OLD])
    status: int = pb.CHANGE_ACCEPTED
    version: int = 1
    member_version: int = 100
    member_state: str = "ready"
    address: str = ""

    def GetConfig(self, request, context):
        workspace = pb.Workspace(name="acme", key_digests=self.digests)
        item = pb.ConfigObject(workspace=workspace, revision=self.version)
        return pb.GetConfigReply(version=self.version, objects=[item])

    def Apply(self, request, context):
        (operation,) = request.operations
        assert operation.expected_revision == self.version
        if self.status != pb.CHANGE_REJECTED:
            self.version += 1
            self.digests = list(operation.object.workspace.key_digests)
        return pb.ApplyReply(status=self.status, version=self.version)

    def GetStatus(self, request, context):
        member = pb.MemberStatus(
            node="b", state=self.member_state, version=self.member_version
        )
        return pb.StatusReply(members=[member])


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


def run(node: FakeNode, *arguments: object) -> int:
    return main(["--node", node.address, *map(str, arguments)])


@pytest.fixture
def stdin(monkeypatch: pytest.MonkeyPatch) -> None:
    buffer = io.BytesIO(f"{SECRET}\n".encode())
    monkeypatch.setattr("sys.stdin", types.SimpleNamespace(buffer=buffer))


@pytest.mark.parametrize(
    ("arguments", "kept"),
    [
        pytest.param(["add", "acme"], [OLD], id="add"),
        pytest.param(["rotate", "acme"], [OLD], id="rotate"),
        pytest.param(
            ["rotate", "acme", "--remove", OLD, "--wait"],
            [],
            id="rotate-and-remove",
        ),
    ],
)
def test_a_generated_key_is_printed_once(
    node: FakeNode,
    capsys: pytest.CaptureFixture[str],
    arguments: list[str],
    kept: list[str],
) -> None:
    """A key that is sent to the node could appear in its log."""
    assert run(node, "keys", *arguments) == ExitStatus.OK
    output = capsys.readouterr()
    key = output.out.strip()
    assert node.digests == [*kept, hashlib.sha256(key.encode()).hexdigest()]
    assert key not in output.err


@pytest.mark.parametrize(
    ("arguments", "digests"),
    [
        pytest.param(["add"], [OLD, SECRET_DIGEST], id="add"),
        pytest.param(["rotate"], [OLD, SECRET_DIGEST], id="rotate"),
        pytest.param(["remove"], [OLD], id="remove"),
    ],
)
@pytest.mark.usefixtures("stdin")
def test_a_key_from_standard_input_is_never_printed(
    node: FakeNode,
    capsys: pytest.CaptureFixture[str],
    arguments: list[str],
    digests: list[str],
) -> None:
    """Output of the command often ends in the log of a script."""
    if arguments == ["remove"]:
        node.digests.append(SECRET_DIGEST)
    assert run(node, "keys", *arguments, "acme", "--stdin") == ExitStatus.OK
    assert node.digests == digests
    output = capsys.readouterr()
    assert output.out == ""
    assert SECRET not in output.err


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param(["add", "acme", SECRET], id="add-argument"),
        pytest.param(["add", "acme", "--wait", SECRET], id="after-option"),
        pytest.param(["add", "acme", f"--key={SECRET}"], id="as-option"),
        pytest.param(["rotate", "acme", SECRET], id="rotate-argument"),
        pytest.param(["rotate", "acme", "--remove", SECRET], id="old-key"),
        pytest.param(["remove", "acme", SECRET], id="remove-argument"),
        pytest.param(["remove", "acme"], id="nothing-to-remove"),
        pytest.param(["remove", "acme", "cd" * 32], id="unknown-digest"),
        pytest.param(["add", "other"], id="unknown-workspace"),
    ],
)
def test_invalid_input_changes_nothing(
    node: FakeNode, capsys: pytest.CaptureFixture[str], arguments: list[str]
) -> None:
    """A key given by mistake must not be repeated in a message."""
    assert run(node, "keys", *arguments) == ExitStatus.BAD_INPUT
    output = capsys.readouterr()
    assert (output.out, node.digests) == ("", [OLD])
    assert SECRET not in output.err


@pytest.mark.parametrize(
    ("state", "version", "status", "remaining"),
    [
        pytest.param("ready", 100, 0, 1, id="in-force"),
        pytest.param("ready", 1, 1, 2, id="behind"),
        pytest.param("starting", 1, 1, 2, id="starting"),
        pytest.param("suspect", 1, 0, 1, id="does-not-respond"),
        pytest.param("gone", 1, 0, 1, id="gone"),
    ],
)
def test_the_old_key_is_kept_until_the_new_one_is_in_force(
    node: FakeNode, state: str, version: int, status: int, remaining: int
) -> None:
    """Otherwise a caller would have no key that all nodes accept."""
    node.member_state, node.member_version = state, version
    options = ["--remove", OLD, "--wait", "--timeout", "0"]
    assert run(node, "keys", "rotate", "acme", *options) == status
    assert len(node.digests) == remaining


@pytest.mark.parametrize(
    ("outcome", "status", "shows_key"),
    [
        pytest.param(pb.CHANGE_REJECTED, 1, False, id="rejected"),
        pytest.param(pb.CHANGE_UNKNOWN, 3, True, id="unknown"),
    ],
)
def test_a_key_that_may_be_in_force_is_printed(
    node: FakeNode,
    capsys: pytest.CaptureFixture[str],
    outcome: int,
    status: int,
    shows_key: bool,
) -> None:
    """Without the key, an operator could not use an accepted change."""
    node.status = outcome
    assert run(node, "keys", "add", "acme") == status
    assert bool(capsys.readouterr().out) is shows_key


@pytest.mark.parametrize(
    "workspace",
    [
        pytest.param(f"{{name: b, key_digests: [{SECRET}]}}", id="text"),
        pytest.param("{name: b, key_digests: [4711471147114711]}", id="number"),
        pytest.param(f"{{name: b, key_digests: [{{{SECRET}: }}]}}", id="map"),
        pytest.param(f"{{name: b, key_digests: {SECRET}}}", id="no-list"),
        pytest.param(f"{{name: b, keys: [{SECRET}]}}", id="other-field"),
        pytest.param(f"{{name: b, keys: [{SECRET}}}", id="no-yaml"),
    ],
)
def test_a_document_with_a_key_is_rejected_without_showing_it(
    node: FakeNode,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    workspace: str,
) -> None:
    """A message with the key would show it to all readers of a terminal."""
    path = tmp_path / "mesh.yaml"
    path.write_text(f"workspaces: [{workspace}]")
    assert run(node, "apply", path) == ExitStatus.BAD_INPUT
    output = capsys.readouterr()
    assert output.out == ""
    assert SECRET not in output.err
    assert "4711" not in output.err


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param([OLD, "--wait"], id="before-option"),
        pytest.param(["--wait", OLD], id="after-option"),
    ],
)
def test_a_key_is_removed_by_its_digest(
    node: FakeNode, arguments: list[str]
) -> None:
    """The parser of the standard library rejects a digest after an option."""
    assert run(node, "keys", "remove", "acme", *arguments) == ExitStatus.OK
    assert node.digests == []


def test_workspaces_are_printed_with_digests(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    """`keys remove` needs the digests of the keys."""
    assert run(node, "workspaces", "list") == ExitStatus.OK
    assert "acme" in capsys.readouterr().out
    assert run(node, "workspaces", "show", "acme") == ExitStatus.OK
    assert f"key {OLD}" in capsys.readouterr().out
