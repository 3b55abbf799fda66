"""Settings of the bounds on what callers send."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt

_MEGABYTE = 1_048_576
# Memory of the smallest VM on which routers run, assumed if the settings file states none.
SMALLEST_MEMORY_MB = 160
# Buffers that grow are allocated an eighth larger than their content.
BUFFER_GROWTH = 1.125
# A head is held as received and as parsed fields.
HEAD_COPIES = 2


@frozen
class IngressSettings:
    """Bounds on what callers send and have not got answered.

    Args:
        memory_mb: Memory of the VM in MiB.
        memory_ratio: Fraction of it for what callers send. The smallest VM then has room for seven
            bodies of 4 MiB; code, control state and answers take less than the rest.
        stall_ms: While memory or connections run short, a caller that has sent nothing for this
            long gives way. A lost packet is usually sent again within this time.
        slow_bytes_per_s: While memory runs short, a caller that sends more slowly gives way. At
            this rate, a body of 200 KB does not arrive within the usual header timeout of 3 s.
        fair_wait_ms: A request waits this long for others to end before a larger one gives way.
        max_wait_ms: A request that finds no memory for this long is refused as not run.
        silent_ms: At the connection limit, a connection that has sent nothing for this long after
            it was accepted gives way. Callers send their first request as soon as it is accepted.
        probe_connections: Connections at the readiness and at the metrics address each. Load
            balancers and monitors open a few; both together fit into the reserved descriptors.
    """

    memory_mb: int = field(default=SMALLEST_MEMORY_MB, validator=gt(0))
    memory_ratio: float = field(default=0.2, validator=gt(0))
    stall_ms: float = field(default=250.0, validator=gt(0))
    slow_bytes_per_s: float = field(default=65_536.0, validator=ge(0))
    fair_wait_ms: float = field(default=250.0, validator=ge(0))
    max_wait_ms: float = field(default=1_000.0, validator=gt(0))
    silent_ms: float = field(default=100.0, validator=gt(0))
    probe_connections: int = field(default=64, validator=gt(0))

    @property
    def memory_bytes(self) -> int:
        """Memory for what callers send."""
        return int(self.memory_mb * _MEGABYTE * self.memory_ratio)

    def largest_body_bytes(self, header_bytes: int) -> int:
        """Return the largest body that finds memory next to a head of the given size."""
        return int((self.memory_bytes - HEAD_COPIES * header_bytes) / BUFFER_GROWTH)
