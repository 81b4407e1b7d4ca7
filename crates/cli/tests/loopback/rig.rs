//! A host, simulated and scripted nodes and scripted clients, all on loopback sockets in one thread.

use bytes::{Bytes, BytesMut};
use gullsail_configuration::{Deployment, parse};
use gullsail_host::core::Counts;
use gullsail_host::runtime::{self, HostClock, HostProcess};
use gullsail_protocol::*;
use gullsail_scheduler_api::{HostId, ShardId, Span, ZoneId};
use gullsail_simulator::idempotency_keys::{IdempotencyKeys, NodeLocation};
use gullsail_simulator::node::{self, NodeProcess};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longer than any expected wait: a machine under load is slow, and that must not fail a test.
pub const LONG: Duration = Duration::from_secs(30);

/// Runs a test in this thread, with a time limit.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        timeout(LONG * 2, test)
            .await
            .expect("the test does not end")
    });
}

/// A listener on a free port of the loopback interface, and its address.
pub async fn free() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

pub fn document(host: &str, node: &str) -> Arc<Deployment> {
    replicated_document(host, &[node])
}

/// A document with one host, and nodes n1, n2 and so on of one shard at these addresses.
pub fn replicated_document(host: &str, nodes: &[&str]) -> Arc<Deployment> {
    let node = |(place, address): (usize, &&str)| {
        let number = place + 1;
        format!("node \"n{number}\" cell=1 address=\"{address}\" machine=\"box\"\n")
    };
    let nodes: String = nodes.iter().enumerate().map(node).collect();
    let text = format!(
        r#"
rules tick="20ms" most-units=40
cold units=40 window="1s" first-part=0.2 ramp="1s"
stream-type "read" effect="repeatable" slo="10s" expiry="20s"
stream-type "write" effect="keyed" group="cell" window="60s" slo="10s" expiry="20s" write=#true
stream-type "trip" effect="unrepeatable" slo="10s" expiry="20s" write=#true
plan "free"
machine "box" cores=2 unit="1ms" queue=100
host "h1" address="{host}"
{nodes}
volume "v" plan="free"
bounds body-bytes="1MB" unsent-bytes="100KB" client-stall="1s"
"#
    );
    Arc::new(parse("loopback.kdl", &text).unwrap())
}

pub struct Host {
    pub task: JoinHandle<Counts>,
    pub stop: Option<oneshot::Sender<()>>,
    pub address: String,
}

/// Starts host h1 with this document in a task.
pub async fn host(d: &Arc<Deployment>, listener: TcpListener) -> Host {
    let (stop, stopped) = oneshot::channel::<()>();
    let address = listener.local_addr().unwrap().to_string();
    let clock = HostClock::start(Span::ZERO);
    let process = HostProcess {
        deployment: d.clone(),
        host: HostId(0),
        seed: 1,
        incarnation: 5,
        clock,
    };
    let task = tokio::spawn(runtime::run(process, listener, None, async {
        let _ = stopped.await;
    }));
    Host {
        task,
        stop: Some(stop),
        address,
    }
}

impl Host {
    /// Stops the host and returns its counts.
    pub async fn stop(mut self) -> Counts {
        self.stop.take().unwrap().send(()).unwrap();
        timeout(LONG, self.task).await.unwrap().unwrap()
    }
}

/// The simulated node n1, alone in its shard.
pub fn stand_in(d: &Deployment, listener: TcpListener) -> JoinHandle<()> {
    let keys = IdempotencyKeys::of_one_node(d, &location());
    simulated_node(d, "n1", listener, keys)
}

/// Zone and shard of all nodes in these tests.
pub fn location() -> NodeLocation {
    NodeLocation {
        zone: ZoneId(0),
        shard: ShardId(1),
    }
}

pub fn simulated_node(
    d: &Deployment,
    name: &str,
    listener: TcpListener,
    keys: IdempotencyKeys,
) -> JoinHandle<()> {
    let process = NodeProcess {
        name: name.into(),
        shard: 1,
        server: d.servers[0].clone(),
        slow_start: d.figures().slow_start,
        incarnation: 77,
        age: Span::from_millis(1e7),
        bounds: Bounds::DEFAULT,
        keys,
    };
    tokio::spawn(node::serve(process, listener))
}

/// One side of a connection: sends frames or arbitrary bytes, and reads frames.
pub struct Raw {
    pub stream: TcpStream,
    pub buf: BytesMut,
}

impl Raw {
    pub async fn client(address: &str) -> Raw {
        Raw::over(TcpStream::connect(address).await.unwrap()).await
    }

    /// A client on an established connection; sends its `Hello`.
    pub async fn over(stream: TcpStream) -> Raw {
        let mut raw = Raw {
            stream,
            buf: BytesMut::new(),
        };
        raw.send(Hello {
            role: Role::Client as i32,
            name: "c".into(),
            ..Hello::default()
        })
        .await;
        raw
    }

    pub async fn send(&mut self, frame: impl Into<Frame>) {
        self.bytes(&wire(frame)).await;
    }

    pub async fn bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// The next frame; `None`: the other side closed.
    pub async fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = decode(&mut self.buf, Bounds::DEFAULT).unwrap() {
                return Some(frame);
            }
            match timeout(LONG, self.stream.read_buf(&mut self.buf))
                .await
                .expect("no bytes arrive")
            {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    pub async fn until<T>(&mut self, mut wanted: impl FnMut(Frame) -> Option<T>) -> Option<T> {
        while let Some(frame) = self.next().await {
            if let Some(found) = wanted(frame) {
                return Some(found);
            }
        }
        None
    }

    pub async fn answer(&mut self) -> Option<(Answer, Bytes)> {
        self.until(|f| {
            if let Message::Answer(a) = f.message {
                Some((a, f.body))
            } else {
                None
            }
        })
        .await
    }

    pub async fn attempt(&mut self) -> Option<Attempt> {
        self.until(|f| {
            if let Message::Attempt(l) = f.message {
                Some(l)
            } else {
                None
            }
        })
        .await
    }
}

pub fn wire(frame: impl Into<Frame>) -> Vec<u8> {
    let frame: Frame = frame.into();
    let mut bytes = BytesMut::new();
    frame.encode_head(&mut bytes);
    [&bytes, &frame.body[..]].concat()
}

pub fn submit(id: u64, request_class: &str) -> Submit {
    Submit {
        id,
        request_class: request_class.into(),
        volume: "v".into(),
        units: 1.0,
        handle: Some(Handle {
            shard: 1,
            object: 3,
        }),
        idempotency_key: format!("mark-{id}"),
        timeout_us: 15_000_000,
        ..Submit::default()
    }
}

/// A node that the test scripts: accepts one connection and sends the node's `Hello`.
pub async fn greet(listener: &TcpListener, incarnation: u64) -> Raw {
    let (stream, _) = timeout(LONG, listener.accept()).await.unwrap().unwrap();
    let mut raw = Raw {
        stream,
        buf: BytesMut::new(),
    };
    let (role, name) = (Role::Node as i32, "n1".to_string());
    raw.send(Hello {
        role,
        name,
        incarnation,
        age_us: 1 << 40,
        shard_plus_one: 2,
    })
    .await;
    raw
}
