"""Metrics in the Prometheus text format, through aioprometheus."""

from aioprometheus import REGISTRY, Counter, Gauge, render

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
consensus_term = Gauge("traystall_consensus_term", "Current term of this replica.")
consensus_commit = Gauge("traystall_consensus_commit_index", "Committed log index.")
rpc_bytes_total = Counter("traystall_rpc_bytes_total", "Bytes on links between our processes.")


def render_metrics(accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of a `/metrics` answer."""
    return render(REGISTRY, accept)
