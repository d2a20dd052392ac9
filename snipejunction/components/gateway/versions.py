"""Roll-outs in the work of an entry host: choice, evidence and reports."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from functools import partial

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.parts import Attempt
from snipejunction.components.gateway.replies import Outcome
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.const import GONE
from snipejunction.components.rollouts.const import (
    EVENT_REPLACED_RELEASED,
    EVENT_VERSION_MISSING,
    SETTLE_SECONDS,
    SWITCHING,
)
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.messages import RolloutReport
from snipejunction.components.rollouts.trial import Trial
from snipejunction.components.rollouts.versions import VersionUse, find_current


def order_candidates(
    service: str, table: GatewayTable, now: float, *, tries_target: bool
) -> list[Collection[Upstream]]:
    """Return the searchers that an attempt may go to, the preferred first.

    ``tries_target`` is whether the attempt may try the target of a roll-out
    while searchers of the current version are usable.
    """
    upstreams = table.upstreams_by_service.get(service, {}).values()
    bounds = table.rollouts.exposure
    if bounds is None:
        return [upstreams]
    use = _version_use(service, table)
    trial = table.rollouts.find_trial(service)
    order: tuple[bool, ...] = (False,)
    if trial is not None:
        order = use.order(
            may_try=_may_try(trial, bounds, table),
            tries_target=tries_target and trial.ledger.is_try_due(now),
            is_stopped=trial.is_stopped,
        )
    return [_of_version(upstreams, use, is_target) for is_target in order]


def is_held_back(upstream: Upstream, table: GatewayTable) -> bool:
    """Return whether no host may send to the version of a searcher."""
    if table.rollouts.exposure is None:
        return False
    use = _version_use(upstream.record.service, table)
    return not use.allows(upstream.record.version)


def explain_held_back(
    request_id: str, service: str, table: GatewayTable
) -> Iterator[LogEvent]:
    """Log that all searchers of a service are of versions without an order."""
    if table.rollouts.exposure is None:
        return
    others = {
        upstream.record.version
        for upstream in table.upstreams_by_service.get(service, {}).values()
        if upstream.record.state != GONE
    }
    use = _version_use(service, table)
    if others and not any(use.allows(version) for version in others):
        yield LogEvent(
            EVENT_VERSION_MISSING,
            request=request_id,
            service=service,
            current=use.current,
            others=', '.join(sorted(others)),
        )


def is_target(upstream: Upstream, table: GatewayTable) -> bool:
    """Return whether a searcher is of the target of a running roll-out."""
    trial = table.rollouts.find_trial(upstream.record.service)
    if trial is None or table.rollouts.exposure is None:
        return False
    use = _version_use(upstream.record.service, table)
    return use.is_target(upstream.record.version)


def count_sending(
    attempt: Attempt, route: str, table: GatewayTable, now: float
) -> None:
    """Count an attempt that is sent now if its service has a roll-out."""
    upstream = attempt.upstream
    trial = table.rollouts.find_trial(upstream.record.service)
    if trial is None or table.rollouts.exposure is None:
        return
    attempt.sending = trial.start_attempt(
        route,
        now,
        is_target=is_target(upstream, table),
        is_cold=now < upstream.cold_until,
    )
    attempt.trial = trial


def record_sending(
    attempt: Attempt, outcome: Outcome, table: GatewayTable, now: float
) -> Iterator[LogEvent]:
    """Count the outcome of an attempt at a service with a roll-out."""
    if attempt.trial is None or attempt.sending is None:
        return
    yield from attempt.trial.finish_attempt(
        attempt.sending,
        outcome,
        partial(_route_median, table),
        now,
        is_relayed=bool(attempt.relay),
    )


def prepare_report(table: GatewayTable, now: float) -> Iterator[LogEvent]:
    """Bring the roll-outs up to date for a report that is sent now."""
    for trial in table.rollouts.open_trials:
        yield from trial.count_late(partial(_route_median, table), now)
        if trial.record.state != SWITCHING or trial.is_released:
            continue
        if not _is_busy(trial, table, now):
            trial.is_released = True
            yield LogEvent(
                EVENT_REPLACED_RELEASED,
                number=trial.record.number,
                service=trial.record.service,
            )


def make_report(host: str, table: GatewayTable, now: float) -> RolloutReport:
    """Return the report of ``host``, its name and incarnation."""
    trials = table.rollouts.open_trials
    return RolloutReport(
        host,
        table.index,
        [
            counts
            for trial in trials
            for counts in trial.evidence.routes.values()
        ],
        [
            trial.record.number
            for trial in trials
            if trial.record.state == SWITCHING and _is_busy(trial, table, now)
        ],
    )


def _version_use(service: str, table: GatewayTable) -> VersionUse:
    rollouts = table.rollouts
    trial = rollouts.find_trial(service)
    target = '' if trial is None else trial.record.target
    upstreams = table.upstreams_by_service.get(service, {}).values()
    current = find_current(
        service,
        rollouts.versions,
        target,
        (upstream.record for upstream in upstreams),
    )
    if trial is None:
        return VersionUse(current)
    return VersionUse(
        current, target, trial.record.state, is_released=trial.is_released
    )


def _of_version(
    upstreams: Collection[Upstream], use: VersionUse, is_wanted: bool
) -> list[Upstream]:
    """Return the searchers of the target, or those of the current version."""
    matches = use.is_target if is_wanted else use.is_current
    return [
        upstream for upstream in upstreams if matches(upstream.record.version)
    ]


def _may_try(trial: Trial, bounds: ExposureBounds, table: GatewayTable) -> bool:
    sharing = table.sharing
    position = None
    if trial.has_slack and sharing.has_share:
        position = sharing.position(trial.record.service, '')
    return trial.ledger.may_send_to_target(bounds, sharing.host_count, position)


def _route_median(table: GatewayTable, route: str) -> float | None:
    return table.latencies_of(route).median


def _is_busy(trial: Trial, table: GatewayTable, now: float) -> bool:
    """Return whether this host has, or may yet have, anything at others.

    Without a usable target the current version goes on.
    """
    service = trial.record.service
    use = _version_use(service, table)
    if use.is_current(trial.record.target):
        return False
    upstreams = table.upstreams_by_service.get(service, {}).values()
    if any(
        upstream.in_flight and not use.is_target(upstream.record.version)
        for upstream in upstreams
    ):
        return True
    if trial.is_released:
        return False
    if trial.is_stopped or now < trial.changed_at + SETTLE_SECONDS:
        return True
    return not any(
        use.is_target(upstream.record.version)
        and _is_ready(upstream, table, now)
        for upstream in upstreams
    )


def _is_ready(upstream: Upstream, table: GatewayTable, now: float) -> bool:
    return now >= upstream.cold_until and table.is_in_service(upstream)
