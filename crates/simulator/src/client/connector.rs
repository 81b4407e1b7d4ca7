//! Connects to hosts, retrying until each one accepts, and opens links on the connections.

use gullsail_connections::{Link, Sink};
use gullsail_protocol::Bounds;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The pause before the next attempt to connect to a host, after a connection was refused or closed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// The most frames that are queued for writing on one link.
const LINK_QUEUE: usize = 16_384;

/// The result of one attempt to connect to a host.
pub(super) struct ConnectOutcome {
    host: usize,
    /// `None`: the host refused the connection or could not be reached.
    stream: Option<TcpStream>,
}

/// A link to a host that was just opened.
pub(super) struct OpenedLink {
    pub(super) host: usize,
    pub(super) id: u64,
    pub(super) link: Link,
}

/// The connection attempts in progress, and the tasks of the open links.
pub(super) struct Connector {
    addresses: Vec<String>,
    pub(super) connecting: JoinSet<ConnectOutcome>,
    pub(super) link_tasks: JoinSet<()>,
    events: Sink<u64>,
    last_link: u64,
}

impl Connector {
    /// Starts to connect to all hosts at once.
    pub(super) fn new(addresses: Vec<String>, events: Sink<u64>) -> Connector {
        let mut connector = Connector {
            addresses,
            connecting: JoinSet::new(),
            link_tasks: JoinSet::new(),
            events,
            last_link: 0,
        };
        for host in 0..connector.addresses.len() {
            connector.connect(host, Duration::ZERO);
        }
        connector
    }

    fn connect(&mut self, host: usize, pause: Duration) {
        let address = self.addresses[host].clone();
        self.connecting.spawn(async move {
            tokio::time::sleep(pause).await;
            // Every failure has the same result: another attempt.
            let stream = TcpStream::connect(address).await.ok();
            ConnectOutcome { host, stream }
        });
    }

    /// Starts another attempt to connect to a host, after a pause.
    pub(super) fn reconnect(&mut self, host: usize) {
        self.connect(host, RECONNECT_PAUSE);
    }

    /// Opens a link on a new connection. If the attempt failed, starts another one and returns `None`.
    pub(super) fn open(&mut self, outcome: ConnectOutcome) -> Option<OpenedLink> {
        let host = outcome.host;
        let Some(stream) = outcome.stream else {
            self.reconnect(host);
            return None;
        };
        self.last_link += 1;
        let id = self.last_link;
        let link = Link::open(
            stream,
            id,
            Bounds::DEFAULT,
            LINK_QUEUE,
            &self.events,
            &mut self.link_tasks,
        );
        Some(OpenedLink { host, id, link })
    }
}
