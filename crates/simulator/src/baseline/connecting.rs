//! Opens the baseline's connections: to the list service, and to the nodes that are ready.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The time between two attempts to connect to a node.
const NODE_RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// The wait before the next attempt to connect to the endpoint list service.
pub(super) const LIST_RECONNECT_WAIT: Duration = Duration::from_millis(500);

/// The process at the other end of a connection.
#[derive(Clone, PartialEq)]
pub(super) enum Peer {
    Client,
    Node(String),
    List,
}

/// A node that is ready according to the endpoint list.
pub(super) struct ReadyNode {
    pub(super) address: String,
    pub(super) shard: i64,
}

/// The result of one attempt to connect; without a stream, the attempt failed.
pub(super) struct Connected {
    pub(super) peer: Peer,
    pub(super) stream: Option<TcpStream>,
}

/// A connection that was just opened.
pub(super) struct OpenedStream {
    pub(super) peer: Peer,
    pub(super) stream: TcpStream,
}

/// The connection attempts in progress.
pub(super) struct Connecting {
    pub(super) tasks: JoinSet<Connected>,
    list_address: String,
    /// When the last attempt to connect to each node began, by the node's name.
    node_tried_at: BTreeMap<String, Instant>,
}

impl Connecting {
    pub(super) fn new(list_address: String) -> Connecting {
        Connecting {
            tasks: JoinSet::new(),
            list_address,
            node_tried_at: BTreeMap::new(),
        }
    }

    /// Handles the result of an attempt to connect: returns the stream, or tries again where the list service was not
    /// reached.
    pub(super) fn handle_result(&mut self, connected: Connected) -> Option<OpenedStream> {
        let Connected { peer, stream } = connected;
        if stream.is_none() && peer == Peer::List {
            self.open_list(LIST_RECONNECT_WAIT);
        }
        stream.map(|stream| OpenedStream { peer, stream })
    }

    fn open(&mut self, peer: Peer, address: String, wait: Duration) {
        self.tasks.spawn(async move {
            tokio::time::sleep(wait).await;
            // Every failure has the same result: another attempt.
            let stream = TcpStream::connect(address).await.ok();
            Connected { peer, stream }
        });
    }

    pub(super) fn open_list(&mut self, wait: Duration) {
        self.open(Peer::List, self.list_address.clone(), wait);
    }

    /// Starts connecting to each ready node that has no connection, unless the last try was less than
    /// `NODE_RECONNECT_INTERVAL` ago.
    pub(super) fn open_nodes(
        &mut self,
        ready: &BTreeMap<String, ReadyNode>,
        connected: &BTreeMap<String, u64>,
    ) {
        for (name, node) in ready {
            let tried_at = self.node_tried_at.get(name);
            let due = tried_at.is_none_or(|at| at.elapsed() > NODE_RECONNECT_INTERVAL);
            if due && !connected.contains_key(name) {
                self.node_tried_at.insert(name.clone(), Instant::now());
                self.open(
                    Peer::Node(name.clone()),
                    node.address.clone(),
                    Duration::ZERO,
                );
            }
        }
    }
}
