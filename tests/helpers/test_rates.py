"""Tests of stated request rates and token buckets."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.helpers.rates import (
    LIMIT_WINDOW_SECONDS,
    TokenBucket,
    parse_rate,
    rate_of_each,
)
from snipejunction.timers import NEVER


class ParseRateTest(TestCase):
    """The text of a rate in an answer."""

    def test_numbers(self) -> None:
        """Zero and positive numbers are rates; no text is no limit."""
        self.assertThat(parse_rate(''), Equals(NEVER))
        for text, rate in (('0', 0.0), ('0.25', 0.25), (' 17 ', 17.0)):
            self.assertThat(parse_rate(text), Equals(rate))

    def test_unreadable(self) -> None:
        """Anything else is not a number."""
        for text in ('-1', 'inf', 'nan', 'many', '1,5', '\x00'):
            self.assertTrue(math.isnan(parse_rate(text)), text)


class TokenBucketTest(TestCase):
    """Requests that the buckets of all hosts let pass together."""

    @given(st.floats(0.3, 200), st.integers(1, 60), st.floats(0, 1))
    def test_window(self, limit: float, hosts: int, start: float) -> None:
        """All hosts together send at most what the limit allows."""
        senders = max(1, min(hosts, int(limit)))
        rate = rate_of_each(limit, senders)
        bucket = TokenBucket(0)
        now = 10 + start
        end = now + LIMIT_WINDOW_SECONDS
        sent = 0
        while now < end:
            wait = bucket.wait(rate, 1, now)
            if wait == 0:
                bucket.take_token(rate, now)
                sent += 1
            now += max(wait, 0.001)
        allowed = max(limit * LIMIT_WINDOW_SECONDS, 1 + 2 * limit)
        self.assertThat(sent * senders, LessThan(allowed + senders * 0.01 + 1))

    @given(st.floats(0.01, 500), st.floats(0, 1e6))
    def test_wait_ends(self, rate: float, now: float) -> None:
        """After the time to wait, the token is there."""
        bucket = TokenBucket(now)
        due = now + bucket.wait(rate, 1, now)
        self.assertThat(bucket.wait(rate, 1, due), Equals(0))
        self.assertTrue(bucket.has_token(rate, due))

    def test_rate_of_zero(self) -> None:
        """A rate of zero lets nothing pass."""
        bucket = TokenBucket(0)
        self.assertFalse(bucket.has_token(0, 1000))
        self.assertThat(bucket.wait(0, 1, 1000), Equals(NEVER))
