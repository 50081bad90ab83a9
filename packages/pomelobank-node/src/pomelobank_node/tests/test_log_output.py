"""Lines that nobody reads, and requests that get a line."""

import os

from pomelobank_node._log_output import MAX_BUFFERED_CHUNKS, BoundedOutput
from pomelobank_node._log_rate_limiter import MAX_FAILURES_PER_S, LogRateLimiter


def test_a_reader_that_stands_still_does_not_hold_the_node_up() -> None:
    """The collector of logs stops reading its pipe.

    A plain write would wait for it, and every request of the node with it.
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


def test_what_waited_is_written_once_the_reader_goes_on() -> None:
    read_end, write_end = os.pipe()
    output = BoundedOutput(write_end)
    lines = [f"{number}".rjust(999) + "\n" for number in range(200)]
    for line in lines:
        output.write(line)
    assert output.buffered
    got = b""
    while output.buffered:
        got += os.read(read_end, 65536)
        output.flush()
    os.close(write_end)
    while part := os.read(read_end, 65536):
        got += part
    os.close(read_end)
    assert got.decode() == "".join(lines)


def test_a_reader_that_has_gone_costs_lines_only() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    output = BoundedOutput(write_end)
    output.write("lost\n")
    os.close(write_end)
    assert (output.dropped, len(output.buffered)) == (1, 0)


def test_failures_without_a_line_are_counted_in_the_next_one() -> None:
    """Thousands of requests a second are refused.

    A line for each would take the core that the others need.
    """
    budget = LogRateLimiter()
    told = sum(budget.allow_failure(500) for _ in range(1000))
    assert told == MAX_FAILURES_PER_S
    assert budget.allow_failure(1500)
    assert budget.pop_dropped() == 1000 - MAX_FAILURES_PER_S
    assert budget.pop_dropped() == 0
