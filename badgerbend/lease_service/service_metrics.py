"""The gauges of the lease service, updated when Prometheus collects them."""

from __future__ import annotations

from badgerbend.lease_service.service import LeaseService
from badgerbend.lease_service.status import lease_statuses
from badgerbend.metrics import Metrics


def update_metrics(service: LeaseService, metrics: Metrics) -> None:
    """Sets the gauges of a broker's leases, health checks, slow-start budget and voter."""
    for lease in lease_statuses(service):
        metrics.duties.labels(lease.duty, "held here").set(lease.may_act)
        metrics.duties.labels(lease.duty, "epoch").set(lease.epoch)
    counts = _service_counts(service) | _budget_counts(service) | _voter_counts(service)
    for name, count in counts.items():
        metrics.duty_totals.labels(name).set(count)


def _service_counts(service: LeaseService) -> dict[str, int]:
    return {
        "probes": service.health_checks.checker.checks_started,
        "findings": service.health_checks.results_received,
        "acts refused": service.fence.rejected,
        "datagrams sent": service.sent,
        "datagrams refused": service.refused,
    }


def _budget_counts(service: LeaseService) -> dict[str, int]:
    if service.slow_start is None:
        return {}
    exchange = service.slow_start.exchange
    return {
        "slices dealt": exchange.allocator.grants_issued,
        "slices taken": exchange.broker_budget.grants_applied,
    }


def _voter_counts(service: LeaseService) -> dict[str, int]:
    local_voter = service.local_voter
    if local_voter is None:
        return {}
    raft = local_voter.voter.raft
    return {
        "term": raft.term,
        "leads": int(local_voter.is_leader),
        "commit": raft.commit_index,
        "syncs": local_voter.writer.sync_count,
        "votes no more": int(local_voter.failure is not None),
    }
