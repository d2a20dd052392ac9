"""Tests of stated request rates and the shares of hosts."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction.helpers.rates import (
    LIMIT_WINDOW_SECONDS,
    NO_SHARE,
    RateShare,
    SendLog,
    parse_rate,
    requests_per_window,
    share_of_host,
)
from snipejunction.timers import NEVER


class ParseRateTest(TestCase):
    """The text of a rate in an answer."""

    def test_numbers(self) -> None:
        """Zero and positive numbers are rates; no text is no limit."""
        self.assertThat(parse_rate(''), Equals(NEVER))
        for text, rate in (('0', 0.0), ('0.25', 0.25), (' 17 ', 17.0)):
            self.assertThat(parse_rate(text), Equals(rate))

    def test_beyond_any_load(self) -> None:
        """A rate that nobody can reach is no limit."""
        for text in ('1e7', '1e308'):
            self.assertThat(parse_rate(text), Equals(NEVER))

    def test_unreadable(self) -> None:
        """Anything else is not a number."""
        for text in ('-1', 'inf', 'nan', 'many', '1,5', '\x00'):
            self.assertTrue(math.isnan(parse_rate(text)), text)


class ShareTest(TestCase):
    """What each host may send under a limit."""

    @given(st.floats(0.25, 200), st.integers(1, 100))
    def test_whole_limit_is_shared(self, limit: float, hosts: int) -> None:
        """The shares of all hosts add up to the limit, but for a fraction."""
        total = sum(
            share_of_host(limit, hosts, position).requests
            for position in range(hosts)
        )
        self.assertThat(total, Equals(requests_per_window(limit)))

    def test_below_one_request_per_window(self) -> None:
        """Only the first host sends, at the rate of the limit."""
        shares = [share_of_host(0.1, 3, position) for position in range(3)]
        requests = [share.requests for share in shares]
        self.assertThat(requests, Equals([1, 0, 0]))
        self.assertThat(shares[0].seconds, Equals(10))


class SendLogTest(TestCase):
    """Requests that a host sends under its share."""

    @given(
        st.integers(1, 30),
        st.lists(st.floats(0, 2), min_size=20, max_size=200),
    )
    def test_any_window(self, requests: int, gaps: list[float]) -> None:
        """No window holds more than the share, whenever requests come."""
        share = RateShare(requests, LIMIT_WINDOW_SECONDS)
        log = SendLog()
        log.fill(share, 1, 100)
        sent: list[float] = []
        now = 100.0
        for gap in gaps:
            now += gap
            if log.may_send(share, now):
                log.count(now)
                sent.append(now)
        for start in sent:
            end = start + LIMIT_WINDOW_SECONDS - 0.001
            in_window = sum(start <= when < end for when in sent)
            self.assertThat(in_window, LessThan(requests + 1))

    @given(st.integers(1, 50), st.integers(0, 60), st.floats(0, 1e6))
    def test_wait_ends(self, requests: int, ahead: int, now: float) -> None:
        """After the time to wait, a request may be sent."""
        share = RateShare(requests, LIMIT_WINDOW_SECONDS)
        log = SendLog()
        log.fill(share, 1, now)
        for _ in range(ahead + 1):
            now += log.wait(share, 0, now)
            self.assertTrue(log.may_send(share, now))
            log.count(now)

    def test_share_is_used(self) -> None:
        """A host with enough requests sends all that its share allows."""
        share = RateShare(8, LIMIT_WINDOW_SECONDS)
        log = SendLog()
        sent = 0
        for step in range(4000):
            now = step / 100
            if log.may_send(share, now):
                log.count(now)
                sent += 1
        self.assertThat(sent, Equals(80))

    def test_high_rate(self) -> None:
        """The log of a high rate that was just stated is short."""
        share = share_of_host(1e6, 1, 0)
        log = SendLog()
        log.fill(share, 1, 100)
        self.assertThat(len(log), LessThan(1000))
        self.assertThat(log.wait(share, 0, 100.001), Equals(0))

    def test_phases(self) -> None:
        """Hosts with one request each send at different times."""
        share = RateShare(1, LIMIT_WINDOW_SECONDS)
        waits = []
        for position in range(4):
            log = SendLog()
            log.fill(share, (position + 1) / 4, 10)
            waits.append(log.wait(share, 0, 10))
        self.assertThat(waits, Equals([1, 2, 3, 4]))

    def test_spacing(self) -> None:
        """What a window allows is not sent at once."""
        share = RateShare(8, LIMIT_WINDOW_SECONDS)
        log = SendLog()
        log.count(0)
        self.assertThat(log.wait(share, 0, 0.1), Equals(0.15))
        self.assertThat(log.wait(share, 3, 0.1), Equals(0.9))

    def test_no_share(self) -> None:
        """A host without a share sends nothing."""
        log = SendLog()
        self.assertFalse(log.may_send(NO_SHARE, 1000))
        self.assertThat(log.wait(NO_SHARE, 1, 1000), Equals(NEVER))
