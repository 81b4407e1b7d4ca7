//! Scheduled events, and the state of a world's hosts and nodes.

use gullsail_host::core::{ConnectionId, Core, Input};
use gullsail_protocol::{Frame, ListedState};
use gullsail_scheduler_api::Instant;
use gullsail_simulator::node_model::Model;
use std::collections::BTreeMap;

/// An event of the simulation.
pub(super) enum Event {
    /// An input to one incarnation of a host.
    ToHost(usize, u64, Input),
    /// A timer of one incarnation of a host. If the host is down, it starts again.
    HostTimer(usize, u64),
    ToNode(String, HostEnd, Frame),
    NodeTimer(String),
    ToList(HostEnd, Frame),
    /// A client connects to a host.
    ClientConnects(usize),
    /// A connected client acts.
    ClientTurn(usize, ConnectionId),
    /// A client leaves after a `GoAway`.
    ClientLeaves(usize, ConnectionId),
    EachSecond,
}

/// A host's end of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct HostEnd {
    pub(super) host: usize,
    /// The host's incarnation.
    pub(super) incarnation: u64,
    pub(super) link: ConnectionId,
}

impl HostEnd {
    /// The event by which the host receives an input on this connection.
    pub(super) fn receives(self, input: impl FnOnce(ConnectionId) -> Input) -> Event {
        Event::ToHost(self.host, self.incarnation, input(self.link))
    }
}

/// A scheduled event. Events are ordered by time, then by number, which is the order of scheduling.
pub(super) struct Scheduled {
    pub(super) at: Instant,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A host with the state of its current incarnation.
pub(super) struct Member {
    /// `None` while the host is down.
    pub(super) core: Option<Core>,
    pub(super) incarnation: u64,
    pub(super) next_wake_up_at: Option<Instant>,
    /// The peer of each connection. For another host, this is that host's end of the connection.
    pub(super) peers: BTreeMap<ConnectionId, Peer>,
    /// The id of each client's newest request; 0 before the first.
    pub(super) clients: BTreeMap<ConnectionId, u64>,
}

impl Member {
    pub(super) fn down() -> Member {
        Member {
            core: None,
            incarnation: 0,
            next_wake_up_at: None,
            peers: BTreeMap::new(),
            clients: BTreeMap::new(),
        }
    }
}

/// The other side of a host's connection.
#[derive(Clone)]
pub(super) enum Peer {
    Client,
    Node(String),
    EndpointList,
    Host(HostEnd),
}

/// An attempt that a node works on.
pub(super) struct Work {
    pub(super) from: HostEnd,
    pub(super) attempt: u64,
    /// Whether it writes a new object.
    pub(super) new: bool,
}

pub(super) struct Node {
    pub(super) name: String,
    pub(super) shard: i64,
    pub(super) model: Model,
    pub(super) incarnation: u64,
    pub(super) started_at: Instant,
    pub(super) state: ListedState,
    pub(super) last_arrival: u64,
    /// Attempts in progress, by their number in `model`.
    pub(super) work: BTreeMap<u64, Work>,
}
