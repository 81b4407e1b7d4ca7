//! What happens when, and the members and nodes of a world.

use gullsail_host::core::{Core, Input, LinkId};
use gullsail_protocol::{Frame, ListedState};
use gullsail_scheduler_api::Instant;
use gullsail_simulator::node_model::Model;
use std::collections::BTreeMap;

/// What happens at one point in time.
pub(super) enum Happening {
    /// An input to one incarnation of a host.
    ToHost(usize, u64, Input),
    /// A timer of one incarnation of a host; or the host starts again.
    HostTimer(usize, u64),
    ToNode(String, HostEnd, Frame),
    NodeTimer(String),
    ToList(HostEnd, Frame),
    /// A client connects to a host.
    ClientConnects(usize),
    /// A connected client acts.
    ClientTurn(usize, LinkId),
    /// A client that is told to go away leaves.
    ClientLeaves(usize, LinkId),
    Second,
}

/// A host's end of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct HostEnd {
    pub(super) host: usize,
    /// Of the host.
    pub(super) incarnation: u64,
    pub(super) link: LinkId,
}

impl HostEnd {
    /// What the host is handed on this connection.
    pub(super) fn receives(self, input: impl FnOnce(LinkId) -> Input) -> Happening {
        Happening::ToHost(self.host, self.incarnation, input(self.link))
    }
}

/// Ordered by time, then by number; numbers are given in the order of scheduling.
pub(super) struct Scheduled {
    pub(super) at: Instant,
    pub(super) number: u64,
    pub(super) happening: Happening,
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

/// A host, over its incarnations.
pub(super) struct Member {
    /// `None`: it is down.
    pub(super) core: Option<Core>,
    pub(super) incarnation: u64,
    pub(super) next_wake_up_at: Option<Instant>,
    /// Where each connection leads; connections to other hosts name their end there.
    pub(super) peers: BTreeMap<LinkId, Peer>,
    /// Each client's newest request.
    pub(super) clients: BTreeMap<LinkId, u64>,
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
    /// A new object is written.
    pub(super) new: bool,
}

pub(super) struct Node {
    pub(super) name: String,
    pub(super) shard: i64,
    pub(super) model: Model,
    pub(super) incarnation: u64,
    pub(super) started_at: Instant,
    pub(super) state: ListedState,
    pub(super) last: u64,
    /// By the model's number.
    pub(super) work: BTreeMap<u64, Work>,
}
