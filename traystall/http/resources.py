"""What a process may use for its clients, from the memory and the descriptors that it has.

The rest is left to what the process is for: its own state, connections to targets and links to
other processes.
"""

import os
import resource

from traystall.core import metrics
from traystall.http.memory import MemoryAccount

# What is held for clients at most, and what the kernel may hold that is not read yet, each as a
# ratio of the memory of the process.
_HELD_RATIO = 0.2
_UNREAD_RATIO = 0.2
# What responses may take that are read from targets at the same time.
_ANSWER_RATIO = 0.05
# Receive buffer of each connection. The kernel keeps that much of a client that is not read.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Connections of clients, of each other address, and links before their greeting, each as a ratio
# of the descriptors.
_CLIENT_RATIO = 3 / 8
_OTHER_RATIO = 1 / 16
_MIN_CONNECTIONS = 8
# Where the system sets no limit.
_MAX_DESCRIPTORS = 65_536
_MEGABYTE = 1_000_000


class ClientResources:
    """The account of memory that all servers of a process share, and their connections.

    Without figures there is no limit.
    """

    def __init__(self, memory_bytes: float = float("inf"), descriptors: float = float("inf")):
        self.memory = MemoryAccount(memory_bytes * _HELD_RATIO)
        self.answer_bytes = memory_bytes * _ANSWER_RATIO
        unread = memory_bytes * _UNREAD_RATIO / RECEIVE_BUFFER_BYTES
        self.max_client_connections = max(
            _MIN_CONNECTIONS, min(descriptors * _CLIENT_RATIO, unread)
        )
        self.max_other_connections = max(_MIN_CONNECTIONS, descriptors * _OTHER_RATIO)

    def publish(self) -> None:
        """Publish the account of memory as metrics."""
        metrics.client_bytes.set({}, self.memory.held_bytes)
        metrics.client_bytes_limit.set({}, self.memory.capacity_bytes)


def process_resources(memory_megabytes: float, descriptors: int) -> ClientResources:
    """Return the resources of this process; 0 stands for what the system gives it."""
    memory_bytes = memory_megabytes * _MEGABYTE
    if not memory_bytes:
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    if not descriptors:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = _MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
    resources = ClientResources(memory_bytes, min(descriptors, _MAX_DESCRIPTORS))
    metrics.render_callbacks.append(resources.publish)
    return resources
