"""Metrics in the Prometheus text format, through aioprometheus."""

from collections.abc import Callable

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

# Histogram buckets of call durations.
_CALL_SECONDS_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, float("inf"))

requests_total = Counter("traystall_requests_total", "Requests answered, by pipeline and outcome.")
attempts_total = Counter("traystall_attempts_total", "Attempts at targets, by stage and outcome.")
busy_seconds_total = Counter(
    "traystall_busy_seconds_total", "Seconds of target time, by customer, pipeline and stage."
)
wasted_seconds_total = Counter(
    "traystall_wasted_seconds_total", "Seconds of target time whose result was not used."
)
tokens_total = Counter("traystall_tokens_total", "Generated tokens, by customer and pipeline.")
late_results_total = Counter("traystall_late_results_total", "Stage results that came too late.")
configuration_number = Gauge("traystall_configuration_number", "Number of the bundle in force.")
evacuation_version = Gauge("traystall_evacuation_version", "Version of the evacuations obeyed.")
evacuated_data_centres = Gauge(
    "traystall_evacuated_data_centres", "Data centres whose targets get no new work."
)
suspects = Gauge(
    "traystall_suspects", "Requests under which targets have ended, as told to this gateway."
)
stream_origins = Gauge(
    "traystall_stream_origins", "Streams whose software version this gateway knows."
)
quarantined = Gauge("traystall_quarantined", "Requests of these that are refused.")
quarantine_refusals_total = Counter(
    "traystall_quarantine_refusals_total", "Requests refused since targets ended under them."
)
held_up_seconds_total = Counter(
    "traystall_held_up_seconds_total", "Seconds by which the event loop was late."
)
target_silences_total = Counter(
    "traystall_target_silences_total",
    "Attempts without data for longer than usual, by pool and whether the target was silent too.",
)
connections_shed_total = Counter(
    "traystall_connections_shed_total",
    "Connections closed unread during an overload.",
)
client_bytes = Gauge("traystall_client_bytes", "Bytes that this process holds for clients.")
client_bytes_limit = Gauge(
    "traystall_client_bytes_limit", "Bytes that this process may hold for clients."
)
connections_given_up_total = Counter(
    "traystall_connections_given_up_total",
    "Connections of clients given up or refused for want of memory or descriptors, by why.",
)
target_ends_total = Counter(
    "traystall_target_ends_total", "Ends of targets seen while they ran requests, by pool."
)
resting_targets = Gauge(
    "traystall_resting_targets", "Targets that have asked this gateway for rest, and still rest."
)
leaving_targets = Gauge(
    "traystall_leaving_targets", "Targets that have told this gateway in answers that they leave."
)
rests_total = Counter("traystall_rests_total", "Rests that targets have asked for, by pool.")
held_back_total = Counter(
    "traystall_held_back_total",
    "Requests and calls kept from targets at rest, leaving or limited, by pool and where.",
)
sent_in_rest_total = Counter(
    "traystall_sent_in_rest_total", "Requests and calls sent to targets at rest; it should stay 0."
)
brittle_targets = Gauge(
    "traystall_brittle_targets", "Targets that say they fall over after too many rejections."
)
tunnels_total = Counter(
    "traystall_tunnels_total", "Connections to targets opened through another gateway, by pool."
)
responses_total = Counter(
    "traystall_responses_total",
    "Responses of targets, by path (direct or tunnel) and what ended them.",
)
limited_targets = Gauge(
    "traystall_limited_targets", "Targets that name a limit for all gateways together."
)
permits_lent_total = Counter(
    "traystall_permits_lent_total", "Requests to limited targets that this gateway lent."
)
sent_beyond_limit_total = Counter(
    "traystall_sent_beyond_limit_total",
    "Requests and calls sent to limited targets without a permit; it should stay 0.",
)
shared_part = Gauge(
    "traystall_shared_part",
    "Part of a route's requests that begins, where this gateway batches for pools shared by parts.",
)
shared_pool_wait = Gauge(
    "traystall_shared_pool_wait_seconds",
    "How long the queue of a pool shared by parts takes, where this gateway batches.",
)
not_admitted_total = Counter(
    "traystall_not_admitted_total",
    "Requests refused before their first stage, by route and the pool that binds it, if any.",
)
consensus_term = Gauge("traystall_consensus_term", "Current term of this replica.")
consensus_commit = Gauge("traystall_consensus_commit_index", "Committed log index.")
disk_used_bytes = Gauge("traystall_disk_used_bytes", "Size of all files in the data folder.")
log_bytes = Gauge("traystall_log_bytes", "Size of the log that the next snapshot replaces.")
rpc_bytes_total = Counter(
    "traystall_rpc_bytes_total", "Bytes on links between our processes, by direction and kind."
)
rpc_late_reply_bytes_total = Counter(
    "traystall_rpc_late_reply_bytes_total", "Bytes of replies whose caller had given up, by kind."
)
rpc_calls_total = Counter(
    "traystall_rpc_calls_total", "Calls to other processes of ours, by kind and outcome."
)
rpc_call_seconds = Histogram(
    "traystall_rpc_call_seconds",
    "Seconds until a call ended, whatever its outcome, by kind.",
    buckets=_CALL_SECONDS_BUCKETS,
)
rpc_unsent_bytes = Gauge(
    "traystall_rpc_unsent_bytes", "Bytes that wait in write buffers, by side and peer's role."
)

# Callbacks that run before each rendering, for values that are cheaper to publish only then.
render_callbacks: list[Callable[[], None]] = []


def render_metrics(accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of a `/metrics` response."""
    for publish in render_callbacks:
        publish()
    return render(REGISTRY, accept)
