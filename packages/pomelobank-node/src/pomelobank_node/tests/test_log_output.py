"""Log output with a slow reader, and the rate limit of log lines."""

import os

from pomelobank_node._log_output import MAX_BUFFERED_CHUNKS, BoundedOutput
from pomelobank_node._log_rate_limiter import (
    MAX_FAILURE_LINES_PER_S,
    LogRateLimiter,
)


def test_a_reader_that_stops_reading_does_not_block_the_node() -> None:
    """The log collector stops reading its pipe.

    A blocking write would wait for the collector and stop every request of the
    node.
    """
    read_end, write_end = os.pipe()
    output = BoundedOutput(write_end)
    line = "x" * 1000 + "\n"
    for _ in range(MAX_BUFFERED_CHUNKS + 200):
        output.write(line)
    assert output.dropped > 0
    assert len(output.buffered) <= MAX_BUFFERED_CHUNKS
    os.close(read_end)
    os.close(write_end)


def test_buffered_lines_are_written_once_the_reader_continues() -> None:
    """Guards against lines that are lost or torn when the reader pauses."""
    read_end, write_end = os.pipe()
    output = BoundedOutput(write_end)
    lines = [f"{number}".rjust(999) + "\n" for number in range(200)]
    for line in lines:
        output.write(line)
    assert output.buffered
    received = b""
    while output.buffered:
        received += os.read(read_end, 65536)
        output.flush()
    os.close(write_end)
    while chunk := os.read(read_end, 65536):
        received += chunk
    os.close(read_end)
    assert received.decode() == "".join(lines)


def test_a_closed_reader_drops_lines_without_an_error() -> None:
    """The log collector ends, so each write to its pipe fails.

    An exception from the write would reach the code that logs the line.
    """
    read_end, write_end = os.pipe()
    os.close(read_end)
    output = BoundedOutput(write_end)
    output.write("lost\n")
    os.close(write_end)
    assert (output.dropped, len(output.buffered)) == (1, 0)


def test_failures_without_a_line_are_counted_in_the_next_one() -> None:
    """The node rejects thousands of requests per second.

    Writing a line for each rejection would take the CPU time that other
    requests need.
    """
    limiter = LogRateLimiter()
    allowed = sum(limiter.allow_failure(500) for _ in range(1000))
    assert allowed == MAX_FAILURE_LINES_PER_S
    assert limiter.allow_failure(1500)
    assert limiter.pop_dropped() == 1000 - MAX_FAILURE_LINES_PER_S
    assert limiter.pop_dropped() == 0
