"""Demonstrate the product: start a cluster for each bundle, send requests, stop it."""

from tests.support.cluster import Cluster

EXAMPLES = {
    "hive": [
        ("nightly-report", "coop-hsinchu", "colony 12 lost 0.8 kg since dusk"),
        ("quick-reading", "apiary-longan", "scale 7"),
    ],
    "nomina": [
        ("payroll-question", "despacho-rivera", "when is the IMSS contribution due?"),
        ("stamp-receipt", "maquiladora-bajio", "receipt 881 of May"),
    ],
}


def main():
    """Run the example requests of both bundles."""
    for bundle, examples in EXAMPLES.items():
        print(f"\n=== {bundle}: three control daemons, three gateways, fake targets ===")
        with Cluster(bundle) as cluster:
            print(f"bundle number {cluster.status()['number']} is in force everywhere")
            for pipeline, customer, text in examples:
                _show(cluster, pipeline, customer, text)
    print("\nAll processes are stopped.")


def _show(cluster, pipeline, customer, text):
    status, _, answer = cluster.ask(pipeline, customer, {"input": text}, key=f"demo-{pipeline}")
    print(f"\n{pipeline} for {customer}: {status} {answer.get('status', answer.get('code'))}")
    print(f"  result: {str(answer.get('result'))[:90]}")
    for stage in answer.get("stages", []):
        print(
            f"  {stage['stage']:10} ran on {stage['target']} in {stage['data_centre']}"
            f" in {stage['seconds'] * 1000:.1f} ms"
        )


if __name__ == "__main__":
    main()
