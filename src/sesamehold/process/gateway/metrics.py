"""Prometheus counters, gauges and histograms of a gateway process."""

from __future__ import annotations

import attrs
import prometheus_client

# Histogram buckets, from a request to a nearby target without stages up to the longest deadline.
_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0, 20.0)
_ACCOUNT_BUCKETS_S = (0.5, 1.0, 2.0, 4.0, 8.0)
_PIECE_BUCKETS = (1, 2, 4, 8, 16, 32, 64, 128)
_SLOWDOWN_BUCKETS = (0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)


def _new_registry() -> prometheus_client.CollectorRegistry:
    return prometheus_client.CollectorRegistry(auto_describe=False)


@attrs.define(eq=False)
class GatewayMetrics:
    """Metrics of one gateway process."""

    registry: prometheus_client.CollectorRegistry = attrs.field(factory=_new_registry)
    requests: prometheus_client.Counter = attrs.field(init=False)
    request_seconds: prometheus_client.Histogram = attrs.field(init=False)
    refused_connections: prometheus_client.Counter = attrs.field(init=False)
    attempts: prometheus_client.Counter = attrs.field(init=False)
    held_back: prometheus_client.Counter = attrs.field(init=False)
    extra_bytes: prometheus_client.Counter = attrs.field(init=False)
    malformed_loads: prometheus_client.Counter = attrs.field(init=False)
    stated_slowdown: prometheus_client.Histogram = attrs.field(init=False)
    attempt_seconds: prometheus_client.Histogram = attrs.field(init=False)
    stage_seconds: prometheus_client.Histogram = attrs.field(init=False)
    stage_call_pieces: prometheus_client.Histogram = attrs.field(init=False)
    stage_jobs: prometheus_client.Counter = attrs.field(init=False)
    stage_refusals: prometheus_client.Counter = attrs.field(init=False)
    stage_account_seconds: prometheus_client.Histogram = attrs.field(init=False)
    store_calls: prometheus_client.Counter = attrs.field(init=False)
    store_era: prometheus_client.Gauge = attrs.field(init=False)
    invalid_items: prometheus_client.Counter = attrs.field(init=False)
    task_failures: prometheus_client.Counter = attrs.field(init=False)
    malformed_gossip: prometheus_client.Counter = attrs.field(init=False)
    engine_choices: prometheus_client.Counter = attrs.field(init=False)
    engine_requests: prometheus_client.Gauge = attrs.field(init=False)
    engine_unread_tokens: prometheus_client.Gauge = attrs.field(init=False)
    engine_slowdown: prometheus_client.Gauge = attrs.field(init=False)
    load_reports: prometheus_client.Gauge = attrs.field(init=False)
    load_report_age: prometheus_client.Gauge = attrs.field(init=False)
    blamed_traits: prometheus_client.Gauge = attrs.field(init=False)
    dropped_log_lines: prometheus_client.Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        registry = self.registry
        counter = prometheus_client.Counter
        histogram = prometheus_client.Histogram
        self.requests = counter(
            "sesamehold_requests_total",
            "Finished requests.",
            ["route", "outcome"],
            registry=registry,
        )
        self.request_seconds = histogram(
            "sesamehold_request_duration_seconds",
            "Time from arrival to the end of the answer.",
            ["route"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.refused_connections = counter(
            "sesamehold_refused_connections_total",
            "Connections of callers that were refused because of what they sent or held.",
            ["reason"],
            registry=registry,
        )
        self.attempts = counter(
            "sesamehold_attempts_total",
            "Sends to targets.",
            ["service", "result"],
            registry=registry,
        )
        self.held_back = counter(
            "sesamehold_held_back_sends_total",
            "Sends that were not made because of what the target stated about itself.",
            ["service", "restriction"],
            registry=registry,
        )
        self.extra_bytes = counter(
            "sesamehold_extra_bytes_total",
            "Times that a target sent bytes that belong to no answer that a request waits for.",
            ["service", "where"],
            registry=registry,
        )
        self.malformed_loads = counter(
            "sesamehold_malformed_loads_total",
            "Answers of targets that state their load in a form that cannot be decoded.",
            ["service"],
            registry=registry,
        )
        self.stated_slowdown = histogram(
            "sesamehold_stated_slowdown",
            "Present duration of work that targets state, as a multiple of the usual one.",
            ["service"],
            buckets=_SLOWDOWN_BUCKETS,
            registry=registry,
        )
        self.attempt_seconds = histogram(
            "sesamehold_attempt_answer_seconds",
            "Time from the send to the answer or the first event.",
            ["service"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.stage_seconds = histogram(
            "sesamehold_stages_duration_seconds",
            "Time for all stages of a request.",
            ["route"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.stage_call_pieces = histogram(
            "sesamehold_stage_call_pieces",
            "Pieces of one call to a stage's target.",
            ["service"],
            buckets=_PIECE_BUCKETS,
            registry=registry,
        )
        self.stage_jobs = counter(
            "sesamehold_stage_jobs_total", "Stages of requests.", ["outcome"], registry=registry
        )
        self.stage_refusals = counter(
            "sesamehold_stage_refusals_total",
            "Requests whose stages were refused or given up by this leader.",
            ["reason", "account"],
            registry=registry,
        )
        self.stage_account_seconds = histogram(
            "sesamehold_stage_account_seconds",
            "Time that the stages of a request took at the leader.",
            ["account"],
            buckets=_ACCOUNT_BUCKETS_S,
            registry=registry,
        )
        self.store_calls = counter(
            "sesamehold_store_calls_total", "Calls to the store.", ["outcome"], registry=registry
        )
        self.store_era = prometheus_client.Gauge(
            "sesamehold_store_era",
            "Number of returns from an older copy that the store states.",
            registry=registry,
        )
        self.invalid_items = counter(
            "sesamehold_invalid_items_total",
            "Entries of the store that could not be decoded or applied.",
            ["kind"],
            registry=registry,
        )
        self.task_failures = counter(
            "sesamehold_task_failures_total",
            "Unexpected errors of background tasks, which were started again.",
            ["task"],
            registry=registry,
        )
        self.malformed_gossip = counter(
            "sesamehold_malformed_gossip_total",
            "Datagrams, and entries of datagrams, that could not be decoded.",
            registry=registry,
        )
        self.engine_choices = counter(
            "sesamehold_engine_choices_total",
            "Engines chosen by the load of all hosts.",
            ["service", "choice"],
            registry=registry,
        )
        self.engine_requests = prometheus_client.Gauge(
            "sesamehold_engine_open_requests",
            "Open requests at an engine, of this host or estimated for the others.",
            ["target", "hosts"],
            registry=registry,
        )
        self.engine_unread_tokens = prometheus_client.Gauge(
            "sesamehold_engine_unread_tokens",
            "Prompt tokens that an engine has still to read.",
            ["target", "hosts"],
            registry=registry,
        )
        self.engine_slowdown = prometheus_client.Gauge(
            "sesamehold_engine_slowdown_ratio",
            "Times of an engine to the first event as a multiple of the expected ones.",
            ["target"],
            registry=registry,
        )
        self.load_reports = prometheus_client.Gauge(
            "sesamehold_load_reports",
            "Other hosts whose reports on their work at engines count.",
            registry=registry,
        )
        self.load_report_age = prometheus_client.Gauge(
            "sesamehold_load_report_age_seconds",
            "Mean age of these reports.",
            registry=registry,
        )
        self.blamed_traits = prometheus_client.Gauge(
            "sesamehold_blamed_traits",
            "Requests and prompt parts that are refused because they crash targets.",
            registry=registry,
        )
        self.dropped_log_lines = prometheus_client.Gauge(
            "sesamehold_dropped_log_lines", "Log lines that were dropped.", registry=registry
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
