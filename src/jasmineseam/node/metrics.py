"""Metrics of a node."""

from __future__ import annotations

import math

from opentelemetry.sdk.metrics import MeterProvider

from ..membership.evacuations import Evacuations
from ..membership.registry import ServerRegistry
from ..operations.metrics import add_counter
from ..operations.metrics import add_gauge
from ..operations.metrics import add_histogram
from ..operations.output import LineOutput
from ..operations.request_log import RequestLog
from .gateway import Gateway
from .load_prober import LoadProber
from .path_checker import PathChecker
from .probe_grants import ProbeGrants
from .quotas import NodeQuotas
from .relays import RelayClient

REQUEST_DURATION_BUCKET_BOUNDS_S = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]


def add_node_metrics(
    provider: MeterProvider,
    *,
    gateway: Gateway,
    prober: LoadProber,
    probe_grants: ProbeGrants,
    path_checker: PathChecker,
    relay_client: RelayClient,
    quotas: NodeQuotas,
    registry: ServerRegistry,
    request_log: RequestLog,
    output: LineOutput,
    evacuations: Evacuations,
) -> None:
    """Register the counters, gauges and the duration histogram of a node.

    :param provider: the meter provider that exports the metrics.
    :param output: the log output, for its count of dropped lines.
    """

    def read_outcomes():
        return [(count, {"outcome": name}) for name, count in gateway.outcome_counts.items()]

    def read_probes():
        return [
            (prober.sent_count, {"result": "sent"}),
            (prober.failed_count, {"result": "failed"}),
            (prober.invalid_count, {"result": "invalid"}),
        ]

    def read_failed_attempts():
        counts = gateway.attempts.failure_counts
        return [(count, {"reason": reason}) for reason, count in counts.items()]

    def read_probe_grants():
        return [(count, {"result": name}) for name, count in probe_grants.result_counts.items()]

    def read_owned_services():
        return [(1, {"service": service}) for service in probe_grants.list_owned()]

    def read_dropped_lines():
        return [(request_log.dropped_lines + output.dropped_lines, {})]

    def read_in_flight():
        return [(gateway.in_flight, {})]

    def read_read_ahead():
        return [(count, {"result": name}) for name, count in gateway.read_ahead_counts.items()]

    def read_body_bytes():
        return [(gateway.held_bodies.size, {})]

    def read_queued():
        return [(gateway.count_queued(), {})]

    def read_returned():
        return [
            (count, {"service": dispatcher.name, "result": result})
            for dispatcher in gateway.dispatchers.list_all()
            for result, count in dispatcher.returned_counts.items()
        ]

    def read_opened_connections():
        return [
            (count, {"purpose": purpose, "reason": reason})
            for (purpose, reason), count in gateway.connections.opened_counts.items()
        ]

    def read_hedges():
        return [(count, {"result": name}) for name, count in gateway.attempts.hedge_counts.items()]

    def read_failed_connections():
        return [(gateway.connections.failed_count, {})]

    def read_lost_paths():
        return [(1, {"service": service}) for service in path_checker.list_lost_services()]

    def read_relays():
        return [(count, {"outcome": name}) for name, count in relay_client.outcome_counts.items()]

    def read_quota_results():
        return [(count, {"result": name}) for name, count in quotas.result_counts.items()]

    def read_quota_grants():
        return [(quotas.granted_count, {})]

    def read_path_losses():
        return [(path_checker.lost_count, {})]

    def read_server_list_age():
        return [(registry.get_list_age_s(), {})]

    def read_request_limits():
        return [
            (limit.requests_per_s, {"server": limit.server_id})
            for limit in gateway.request_limits.list_limits()
            if limit.requests_per_s is not None
        ]

    def read_cold_servers():
        return [
            (limit.left_s, {"server": limit.server_id})
            for limit in gateway.request_limits.list_warmups()
        ]

    def read_request_shares():
        return [
            (requests_per_s, {"server": server_id})
            for server_id, requests_per_s in gateway.dispatchers.get_request_shares().items()
        ]

    def read_evacuations():
        return [
            (
                evacuations.get_since(failure_domain).offset,
                {
                    "failure_domain": failure_domain,
                    "timeline": evacuations.get_since(failure_domain).timeline,
                },
            )
            for failure_domain in evacuations.failure_domains
        ]

    def read_evacuations_position():
        return [(evacuations.state.position.offset, {})]

    def read_quarantined():
        return [(gateway.attempts.quarantine.count_quarantined(), {})]

    def read_crashes():
        return [(gateway.attempts.quarantine.crash_count, {})]

    def read_refused_keys():
        counts = gateway.authenticator.refusal_counts
        return [(count, {"reason": reason}) for reason, count in counts.items()]

    def read_table_age():
        age_s = gateway.authenticator.get_table_age_s()
        return [(age_s, {})] if math.isfinite(age_s) else []

    gateway.record_duration = add_histogram(
        provider, "request.duration", "s", "Time to the answer.", REQUEST_DURATION_BUCKET_BOUNDS_S
    )
    add_counter(provider, "requests", "1", "Requests, by outcome.", read_outcomes)
    add_counter(provider, "attempts.failed", "1", "Attempts, by reason.", read_failed_attempts)
    add_counter(provider, "probes", "1", "Probes of servers.", read_probes)
    add_counter(provider, "probes.grants", "1", "Requests for probes.", read_probe_grants)
    add_gauge(provider, "probes.owned", "1", "Services granted here.", read_owned_services)
    add_counter(provider, "log.dropped", "1", "Log lines left out.", read_dropped_lines)
    add_counter(provider, "connections", "1", "Opened to servers.", read_opened_connections)
    add_counter(
        provider, "connections.failed", "1", "Not opened to servers.", read_failed_connections
    )
    add_counter(provider, "hedges", "1", "Second attempts, by result.", read_hedges)
    add_gauge(provider, "requests.in_flight", "1", "Requests held.", read_in_flight)
    add_counter(provider, "requests.read_ahead", "1", "Run before their turn.", read_read_ahead)
    add_gauge(provider, "requests.body_bytes", "By", "Request bodies held.", read_body_bytes)
    add_gauge(provider, "requests.queued", "1", "Requests that wait.", read_queued)
    add_counter(provider, "requests.returned", "1", "Back after a refusal.", read_returned)
    add_gauge(
        provider, "servers.request_limit", "1/s", "Named by servers in need.", read_request_limits
    )
    add_gauge(
        provider,
        "servers.request_share",
        "1/s",
        "Part of the limit that this node may use.",
        read_request_shares,
    )
    add_gauge(provider, "evacuations", "1", "Offset since which.", read_evacuations)
    add_gauge(
        provider, "evacuations.position", "1", "Offset read up to.", read_evacuations_position
    )
    add_gauge(
        provider, "servers.warmup_left", "s", "Until a cold server is warm.", read_cold_servers
    )
    add_gauge(provider, "requests.quarantined", "1", "They crash servers.", read_quarantined)
    add_counter(provider, "crashes", "1", "Of servers under requests of this node.", read_crashes)
    add_gauge(provider, "paths.lost", "1", "Services out of reach.", read_lost_paths)
    add_counter(provider, "relays", "1", "Through other nodes, by outcome.", read_relays)
    add_counter(provider, "quotas.tokens", "1", "Asked for, by result.", read_quota_results)
    add_counter(provider, "quotas.grants", "1", "Tokens granted as owner.", read_quota_grants)
    add_counter(provider, "paths.losses", "1", "Of paths to services.", read_path_losses)
    add_counter(
        provider, "accounts.refused", "1", "Requests without a valid key.", read_refused_keys
    )
    add_gauge(provider, "table.age", "s", "Since the routing table was confirmed.", read_table_age)
    add_gauge(provider, "servers.age", "s", "Age of the list of servers.", read_server_list_age)
