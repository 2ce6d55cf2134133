"""Pure replicated-log core: election, replication, snapshots, membership, leases."""
