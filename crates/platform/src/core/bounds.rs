//! How large messages may be, and how the descriptors and the memory of the process are divided.

use crate::settings_document::Limits;
use gullsail_http::Bounds;

/// How large messages of clients and nodes may be. The platform's pages state these bounds; a larger message is
/// answered with 431 or 413.
pub const BOUNDS: Bounds = Bounds {
    head: 16 << 10,
    body: 64 << 10,
};

/// Descriptors that neither clients nor nodes may hold: standard streams, the listener, UDP, the runtime's own, the
/// settings document while it is read, and two connections to discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Fewest descriptors shared by clients and nodes, whatever the limits say: without any, no request could be
/// served.
const MIN_SHARED_DESCRIPTORS: usize = 8;
/// Fraction of the shared descriptors for clients; nodes have the rest.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// Fraction of the memory limit that open requests may hold.
const REQUEST_MEMORY_FRACTION: f64 = 0.2;
/// Fraction of the memory limit that incomplete messages of clients may hold. Bounds what clients can make the
/// host buffer without completing a request.
const INPUT_MEMORY_FRACTION: f64 = 0.1;

/// What each part of a host may hold.
pub(super) struct ResourceBounds {
    /// Descriptors of the process.
    pub(super) descriptors: usize,
    pub(super) client_connections: usize,
    pub(super) node_connections: usize,
    /// Bytes of open requests.
    pub(super) request_bytes: usize,
    /// Bytes of incomplete messages of clients.
    pub(super) input_bytes: usize,
}

impl ResourceBounds {
    /// Divides the limits of the document; `process_descriptors` is how many the process itself may hold.
    pub(super) fn divide(limits: Limits, process_descriptors: usize) -> ResourceBounds {
        let descriptors = limits
            .sockets
            .min(process_descriptors)
            .max(RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS);
        let shared = descriptors - RESERVED_DESCRIPTORS;
        let client_connections = (shared as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
        let bytes = |fraction: f64| (limits.memory_mb * fraction * 1e6) as usize;
        ResourceBounds {
            descriptors,
            client_connections,
            node_connections: shared - client_connections,
            request_bytes: bytes(REQUEST_MEMORY_FRACTION),
            input_bytes: bytes(INPUT_MEMORY_FRACTION),
        }
    }
}
