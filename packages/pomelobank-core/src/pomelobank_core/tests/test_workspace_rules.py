"""Changes with invalid workspaces are rejected as a whole."""

import pytest

from pomelobank_core import ConfigState, operations_digest, replay_change
from pomelobank_schema.generated.records import (
    ChangeRecord,
    OperationRecord,
    ServiceObject,
    WorkspaceObject,
)

DIGEST = "ab" * 32
SECRET = "wonderful-secret"


def change(change_id: str, *objects: WorkspaceObject) -> ChangeRecord:
    operations = [
        OperationRecord(workspace=item, expected_revision=-1)
        for item in objects
    ]
    service = OperationRecord(
        service=ServiceObject(name=change_id), expected_revision=-1
    )
    return ChangeRecord(change_id=change_id, operations=(service, *operations))


def workspace(name: str, *digests: str) -> WorkspaceObject:
    return WorkspaceObject(name=name, key_digests=digests)


@pytest.mark.parametrize(
    ("objects", "problems"),
    [
        pytest.param([workspace("b", "cd" * 32)], [], id="valid"),
        pytest.param([workspace("b")], [], id="no-keys"),
        pytest.param(
            [workspace("a"), workspace("b", DIGEST)], [], id="moved-key"
        ),
        pytest.param(
            [workspace("b", DIGEST)],
            [("shared_key", "workspace/b")],
            id="key-of-an-unchanged-workspace",
        ),
        pytest.param(
            [workspace("b", DIGEST.upper())],
            [("shared_key", "workspace/b")],
            id="shared-key-in-upper-case",
        ),
        pytest.param(
            [workspace("b", SECRET)],
            [("bad_key_digest", "workspace/b")],
            id="key-for-a-digest",
        ),
        pytest.param(
            [workspace("b", DIGEST[:-1])],
            [("bad_key_digest", "workspace/b")],
            id="63-characters",
        ),
        pytest.param(
            [workspace("b", DIGEST + "\n")],
            [("bad_key_digest", "workspace/b")],
            id="line-break-at-the-end",
        ),
        pytest.param(
            [workspace("b\nx-admin: 1")],
            [("bad_name", "workspace/b\nx-admin: 1")],
            id="name-with-a-line-break",
        ),
    ],
)
def test_a_broken_rule_rejects_the_whole_change(
    objects: list[WorkspaceObject], problems: list[tuple[str, str]]
) -> None:
    """If a part were applied, a key could identify two workspaces."""
    state = replay_change(
        ConfigState(), 0, change("first", workspace("a", DIGEST))
    )
    after = replay_change(state, 1, change("second", *objects))
    decision = after.decisions["second"]
    found = [(item.kind.value, item.object) for item in decision.problems]
    assert found == problems
    assert SECRET not in str(decision)
    if problems:
        assert after.snapshot.objects == state.snapshot.objects


def test_changes_keep_the_digest_of_earlier_programs() -> None:
    """A change id is sent again after its node was updated.

    With another digest, the repeat would be taken for a different change. The
    number was computed before operations could contain workspaces.
    """
    operation = OperationRecord(service=ServiceObject(name="s"))
    record = ChangeRecord(change_id="a", operations=(operation,))
    assert operations_digest(record) == 9033042259104320723
