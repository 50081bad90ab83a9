"""The platform's store: a log with keyed topics."""

import asyncio
import base64
import json
from urllib.parse import parse_qs

from stand_ins_2.wire import BrokenMessageError, Message, encode, read_message

_ANSWER_S = 0.004


class Partition:
    """Records of a topic's only partition that is used."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.changed = asyncio.Event()

    def append(self, record: bytes, is_keyed: bool) -> int:
        """Appends a record and returns its offset."""
        offset = len(self.records)
        self.records.append(record)
        if is_keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store:
    """Serves the calls of the log that the nodes make."""

    def __init__(self) -> None:
        self.topics: dict[str, Partition] = {}
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def publish(self, document: dict[str, object]) -> None:
        """Stores a configuration, as the operator does."""
        value = json.dumps(document).encode()
        record = bytes([len(b"config")]) + b"config" + value
        self._topic("keyed.op").append(record, is_keyed=True)

    def _topic(self, name: str) -> Partition:
        return self.topics.setdefault(name, Partition())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                writer.write(encode(f"HTTP/1.1 {status} X", {}, body))
                await writer.drain()
        except (BrokenMessageError, OSError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        await asyncio.sleep(_ANSWER_S)
        path, _, query = request.start[1].partition("?")
        fields = {key: value[0] for key, value in parse_qs(query).items()}
        call = path.removeprefix("/api/")
        if call == "log-append":
            return self._append(fields, request.body)
        if call == "log-read":
            return await self._read(fields)
        if call == "log-newest":
            return self._newest(fields)
        return 404, b""

    def _append(self, fields: dict[str, str], data: bytes) -> tuple[int, bytes]:
        topic = fields["Topic"]
        partition = self._topic(topic)
        end = len(partition.records)
        if int(fields.get("At", end)) != end:
            return 412, json.dumps({"End": end}).encode()
        while data:
            size = int.from_bytes(data[:4], "big")
            is_keyed = topic.startswith("keyed.")
            partition.append(data[4 : 4 + size], is_keyed)
            data = data[4 + size :]
        answer = {"Offset": end, "End": len(partition.records)}
        return 200, json.dumps(answer).encode()

    async def _read(self, fields: dict[str, str]) -> tuple[int, bytes]:
        partition = self._topic(fields["Topic"])
        start = int(fields["From"])
        if start > len(partition.records):
            return 410, json.dumps({"First": 0}).encode()
        if start == len(partition.records):
            try:
                async with asyncio.timeout(int(fields.get("WaitMs", 0)) / 1000):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        data = len(partition.records).to_bytes(8, "big") + bytes(8)
        for record in partition.records[start:]:
            data += len(record).to_bytes(4, "big") + record
        return 200, data

    def _newest(self, fields: dict[str, str]) -> tuple[int, bytes]:
        topic = fields["Topic"]
        if topic not in self.topics:
            return 404, b""
        partition = self.topics[topic]
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (value, offset) in sorted(partition.newest.items())
        ]
        answer = {
            "items": items,
            "More": False,
            "End": len(partition.records),
        }
        return 200, json.dumps(answer).encode()
