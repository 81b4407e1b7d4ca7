//! Bounds on the size of messages, and the division of the process's descriptors and memory.

use crate::settings_document::Limits;
use gullsail_http::Bounds;

/// Largest head and body of a message of a client or node, as the platform's documentation states them. A client's
/// larger message is answered with 431 or 413.
pub const BOUNDS: Bounds = Bounds {
    head: 16 << 10,
    body: 64 << 10,
};

/// Descriptors reserved for other uses than connections to clients and nodes: standard streams, the listener, the UDP
/// socket, the async runtime, the settings document during a reload, and two connections to discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Fewest descriptors shared by clients and nodes, even if the configured limit is lower: without any, no request could
/// be served.
const MIN_SHARED_DESCRIPTORS: usize = 8;
/// Fraction of the shared descriptors for client connections. Node connections get the others.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// Fraction of the memory limit that open requests may hold.
const REQUEST_MEMORY_FRACTION: f64 = 0.2;
/// Fraction of the memory limit for responses of nodes that are incomplete. Each connection to a node may hold one, so
/// it bounds their number.
const RESPONSE_MEMORY_FRACTION: f64 = 0.3;
/// Fraction of the memory limit that incomplete messages of clients may hold. It bounds the memory that clients can
/// occupy without sending a complete request.
const INPUT_MEMORY_FRACTION: f64 = 0.1;

/// How many descriptors and how much memory each use may take.
pub(super) struct ResourceBounds {
    /// Most descriptors of the process, reserved ones included.
    pub(super) descriptors: usize,
    pub(super) client_connections: usize,
    pub(super) node_connections: usize,
    /// Most bytes of memory that open requests may hold.
    pub(super) request_bytes: usize,
    /// Most bytes of incomplete messages of clients that are buffered.
    pub(super) input_bytes: usize,
}

impl ResourceBounds {
    /// Divides the limits of the settings document. `process_descriptors` is the process's limit on open descriptors;
    /// the smaller of both limits holds.
    pub(super) fn divide(limits: Limits, process_descriptors: usize) -> ResourceBounds {
        let descriptors = limits
            .sockets
            .min(process_descriptors)
            .max(RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS);
        let shared = descriptors - RESERVED_DESCRIPTORS;
        let client_connections = (shared as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
        let bytes = |fraction: f64| (limits.memory_mb * fraction * 1e6) as usize;
        let responses = bytes(RESPONSE_MEMORY_FRACTION) / (BOUNDS.head + BOUNDS.body);
        ResourceBounds {
            descriptors,
            client_connections,
            node_connections: (shared - client_connections).min(responses.max(1)),
            request_bytes: bytes(REQUEST_MEMORY_FRACTION),
            input_bytes: bytes(INPUT_MEMORY_FRACTION),
        }
    }
}
