"""Admission of requests within this host's shares of caller limits."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, Deliver, IncrementCounter
from snipejunction.components.admission.account import Account, QueuedRequest
from snipejunction.components.admission.const import (
    MAX_QUEUED_REQUESTS,
    MAX_WAIT_SECONDS,
    METRIC_ADMITTED,
    METRIC_REFUSED,
    SHARE_REQUEST_SECONDS,
)
from snipejunction.components.admission.messages import (
    AdmissionReply,
    AdmitQueued,
)
from snipejunction.components.admission.systems.share_requests import (
    request_share,
)
from snipejunction.const import (
    CODE_CONCURRENCY_LIMIT,
    CODE_FORBIDDEN,
    CODE_NO_LEASE,
    CODE_RATE_LIMIT,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, not_run_refusal

MAX_RETRY_AFTER_SECONDS: Final = 2.0
# Minimum delay before queued requests are processed again, in seconds.
MIN_PAUSE_SECONDS: Final = 0.001


def request_admission(
    node: Node,
    reply: AdmissionReply,
    now: float,
) -> Iterator[Command]:
    """Decide on a request and deliver ``reply``, possibly after a delay.

    A request is queued only while a share may still arrive in time; if the
    limit is exhausted, it is refused at once.
    """
    refusal = _check_access(node, reply.caller, reply.service, now)
    if refusal is not None:
        yield from _refuse(reply, refusal)
        return
    account = node.admission.account(reply.caller, reply.service, now)
    account.record_arrival(now)
    if not account.queued and _try_admit(node, account, now):
        yield Deliver(reply)
        yield IncrementCounter(METRIC_ADMITTED)
    elif _cannot_admit_in_time(account, now):
        yield from _refuse(reply, _limit_refusal(account, now))
    else:
        account.queued.append(QueuedRequest(reply, now + MAX_WAIT_SECONDS))
        _schedule_queue(node, account, now)
        if account.can_request_share(now):
            yield from request_share(node, account, now)
        return
    if account.is_share_request_due(now):
        yield from request_share(node, account, now)


def admit(
    node: Node,
    caller: str,
    service: str,
    now: float,
) -> Refusal | None:
    """Admit or refuse a request without waiting for a share.

    Return the refusal, or None if the request is admitted; the caller of
    this function must then call ``release_slot`` once the request has ended.
    """
    refusal = _check_access(node, caller, service, now)
    if refusal is not None:
        return refusal
    account = node.admission.account(caller, service, now)
    account.record_arrival(now)
    if _try_admit(node, account, now):
        return None
    return _limit_refusal(account, now)


def release_slot(node: Node, caller: str, service: str, now: float) -> None:
    """Release the slot of an admitted request that has ended."""
    account = node.admission.account(caller, service, now)
    account.open_requests = max(0, account.open_requests - 1)
    if account.queued:
        node.timers.schedule(now, AdmitQueued(caller, service))


@handle.register
def _handle_admit_queued(
    message: AdmitQueued,
    node: Node,
    now: float,
) -> Iterator[Command]:
    key = (message.caller, message.service)
    account = node.admission.accounts.get(key)
    if account is not None:
        yield from admit_queued(node, account, now)


def admit_queued(
    node: Node,
    account: Account,
    now: float,
) -> Iterator[Command]:
    """Admit queued requests in order; refuse those that timed out."""
    queue = account.queued
    while queue and _try_admit(node, account, now):
        yield Deliver(queue.popleft().reply)
        yield IncrementCounter(METRIC_ADMITTED)
    while queue and (
        queue[0].due <= now or _cannot_admit_in_time(account, now)
    ):
        reply = queue.popleft().reply
        yield from _refuse(reply, _limit_refusal(account, now))
    if queue:
        _schedule_queue(node, account, now)


def _schedule_queue(node: Node, account: Account, now: float) -> None:
    due = account.queued[0].due
    if account.has_slot(now):
        delay = max(MIN_PAUSE_SECONDS, account.seconds_to_token(now))
        due = min(due, now + delay)
    message = AdmitQueued(account.caller, account.service)
    node.timers.schedule(due, message)


def _cannot_admit_in_time(account: Account, now: float) -> bool:
    """Return whether a queued request could not be admitted in time."""
    if len(account.queued) >= MAX_QUEUED_REQUESTS:
        return True
    if not account.is_short or not account.remaining_seconds(now):
        return False
    if account.open_requests >= account.slots:
        return True
    ahead = len(account.queued) / max(account.rate, 1 / MAX_WAIT_SECONDS)
    return account.seconds_to_token(now) + ahead > SHARE_REQUEST_SECONDS / 2


def _limit_refusal(account: Account, now: float) -> Refusal:
    subject = f'{account.caller} at {account.service}'
    if (
        account.remaining_seconds(now)
        and account.open_requests >= account.slots
    ):
        detail = f'{subject} has all its requests open'
        return not_run_refusal(
            CODE_CONCURRENCY_LIMIT, detail, SHARE_REQUEST_SECONDS
        )
    delay = max(SHARE_REQUEST_SECONDS, account.seconds_to_token(now))
    detail = f'{subject} is above its rate'
    retry_after = min(delay, MAX_RETRY_AFTER_SECONDS)
    return not_run_refusal(CODE_RATE_LIMIT, detail, retry_after)


def _try_admit(node: Node, account: Account, now: float) -> bool:
    # Without a lease the share is invalid: it may be granted to another host.
    return node.lease.is_held(now) and account.try_admit(now)


def _check_access(
    node: Node,
    caller: str,
    service: str,
    now: float,
) -> Refusal | None:
    if not node.lease.is_held(now):
        return not_run_refusal(CODE_NO_LEASE, 'this host may take no work now')
    limit = node.settings.caller_limit(caller, service)
    if limit is not None and limit.rate > 0 and limit.concurrency > 0:
        return None
    return not_run_refusal(
        CODE_FORBIDDEN, f'{caller} may not call {service}', -1
    )


def _refuse(reply: AdmissionReply, refusal: Refusal) -> Iterator[Command]:
    reply.refusal = refusal
    yield Deliver(reply)
    yield IncrementCounter(METRIC_REFUSED)
