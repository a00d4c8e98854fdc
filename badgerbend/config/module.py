"""The settings that the decision module needs."""

from __future__ import annotations

import math

from badgerbend import api
from badgerbend.config.settings import Settings


def module_settings(settings: Settings) -> api.Settings:
    """Derives the decision module's settings from the broker's."""
    return api.Settings(
        classes=tuple(
            api.QueryClass(
                query_class.aim_ms,
                query_class.deadline_ms,
                query_class.effect,
                query_class.repeat_window_ms,
                query_class.late_worth,
                query_class.worth,
                query_class.need,
                query_class.need if query_class.floor is None else query_class.floor,
                query_class.partial,
                query_class.second_step,
            )
            for query_class in settings.class_
        ),
        tenants=tuple(api.Tenant(tenant.quota_per_s) for tenant in settings.tenant),
        broker_index=settings.identity.index,
        broker_count=settings.identity.count,
        zone=settings.identity.zone,
        cell_count=settings.layout.cells,
        cells_per_shard=settings.layout.reach,
        parts_per_call=settings.servers.parts_per_call,
        max_attempts=settings.attempts.most,
        max_open=settings.max_open,
        hedging=settings.attempts.second_copies,
        cancel=settings.attempts.cancel,
        health_checks=False,
        retry_after=settings.advice.retry_after,
        max_retry_after_ms=settings.advice.max_retry_after_ms,
        connection_idle_ms=settings.servers.idle_ms,
        connect_timeout_ms=settings.servers.connect_timeout_ms,
        polls_endpoint_list=settings.discovery.mode == "ask",
        max_poll_interval_ms=settings.discovery.must_ask_ms if settings.discovery.mode == "ask" else math.inf,
        over_quota_weight=settings.over_share_worth,
        slow_start_from=settings.servers.cold_from,
        slow_start_ms=settings.servers.cold_ms,
        overload_factor=settings.servers.overload_factor,
        overload_window_ms=settings.servers.fall_ms,
        retry_budget_min=settings.attempts.free,
        retry_budget_share=settings.attempts.share,
        retry_budget_window_ms=settings.attempts.window_ms,
    )
