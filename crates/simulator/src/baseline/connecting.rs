//! Opens the baseline's connections: to the list service, and to the nodes that are ready.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The time between two attempts to connect to a node.
const NODE_RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// The wait before the endpoint list service is connected to again.
pub(super) const LIST_RECONNECT_WAIT: Duration = Duration::from_millis(500);

/// The process at the other end of a connection.
#[derive(Clone, PartialEq)]
pub(super) enum Peer {
    Client,
    Node(String),
    List,
}

/// A node that is ready by the list.
pub(super) struct ReadyNode {
    pub(super) address: String,
    pub(super) shard: i64,
}

/// A connection that was being opened; without a stream: it failed.
pub(super) struct Connected {
    pub(super) peer: Peer,
    pub(super) stream: Option<TcpStream>,
}

/// A connection that was just opened.
pub(super) struct OpenedStream {
    pub(super) peer: Peer,
    pub(super) stream: TcpStream,
}

/// Connections that are being opened.
pub(super) struct Connecting {
    pub(super) tasks: JoinSet<Connected>,
    list_address: String,
    /// When each node was last connected to.
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

    /// What follows the end of a try: the stream, or another try where the list was not reached.
    pub(super) fn ended(&mut self, connected: Connected) -> Option<OpenedStream> {
        let Connected { peer, stream } = connected;
        if stream.is_none() && peer == Peer::List {
            self.open_list(LIST_RECONNECT_WAIT);
        }
        stream.map(|stream| OpenedStream { peer, stream })
    }

    fn open(&mut self, peer: Peer, address: String, wait: Duration) {
        self.tasks.spawn(async move {
            tokio::time::sleep(wait).await;
            // The reason of a failure does not matter: the connection is tried again.
            let stream = TcpStream::connect(address).await.ok();
            Connected { peer, stream }
        });
    }

    pub(super) fn open_list(&mut self, wait: Duration) {
        self.open(Peer::List, self.list_address.clone(), wait);
    }

    /// Connects to ready nodes without a connection.
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
