//! The parts of a run: hosts, a bare relay to compare them with, and nodes. Each kind runs on a separate thread.

use bytes::Bytes;
use gullsail_configuration::{Deployment, parse};
use gullsail_connections::{Link, LinkEvent};
use gullsail_host::core::Counts;
use gullsail_host::runtime::{self, HostClock, HostProcess};
use gullsail_protocol::{AttemptAnswer, AttemptResult, Bounds, Frame, Hello, Message, Role};
use gullsail_scheduler_api::{HostId, Span};
use nix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

/// Creates an async runtime that runs on the current thread.
pub fn current_thread() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

fn thread_cpu_seconds() -> f64 {
    let t = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("this thread's processor time");
    t.tv_sec() as f64 + t.tv_nsec() as f64 / 1e9
}

/// Binds listeners on loopback. Returns them with their addresses.
pub fn listeners(count: usize) -> (Vec<StdListener>, Vec<String>) {
    let all: Vec<_> = (0..count)
        .map(|_| StdListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    all.iter()
        .for_each(|l| l.set_nonblocking(true).expect("non-blocking"));
    let addresses = all
        .iter()
        .map(|l| l.local_addr().expect("an address").to_string())
        .collect();
    (all, addresses)
}

/// A configuration with a host and a node at each address, and the settings `plan` in the plan of its volumes.
pub fn document(hosts: &[String], nodes: &[String], plan: &str) -> Arc<Deployment> {
    let text = document_text(hosts, nodes, plan);
    Arc::new(parse("bench.kdl", &text).unwrap_or_else(|p| panic!("{:?}", p.problems)))
}

/// The text of the configuration that [`document`] parses.
pub fn document_text(hosts: &[String], nodes: &[String], plan: &str) -> String {
    let mut text = format!(
        "rules tick=\"20ms\"\ncold units=40 window=\"1s\" first-part=0.2 ramp=\"1s\"\n\
         stream-type \"read\" effect=\"repeatable\" slo=\"1s\" expiry=\"5s\"\nplan \"p\" {plan}\n\
         bounds open=1000000 held-bytes=\"2GB\"\nvolume \"v\" plan=\"p\"\nvolume \"w\" plan=\"p\"\n"
    );
    for (i, a) in hosts.iter().enumerate() {
        text += &format!("host \"h{i}\" address=\"{a}\"\n");
    }
    for (i, a) in nodes.iter().enumerate() {
        text += &format!("node \"n{i}\" cell={i} address=\"{a}\"\n");
    }
    text
}

/// Runs nodes on one thread until the process ends. They answer each attempt at once with a body of `answer` bytes, or
/// never if `answer` is `None`.
pub fn nodes(listeners: Vec<StdListener>, answer: Option<usize>) {
    std::thread::spawn(move || {
        current_thread().block_on(async move {
            let (sink, mut inbox) = mpsc::channel(4096);
            let (mut tasks, mut links) = (JoinSet::new(), BTreeMap::new());
            let (accepted, mut new_streams) = mpsc::channel(64);
            for (shard, listener) in listeners.into_iter().enumerate() {
                let (listener, accepted) = (TcpListener::from_std(listener).expect("a listener"), accepted.clone());
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let _ = accepted.send((shard, stream)).await;
                    }
                });
            }
            let (body, mut last_link) = (Bytes::from(vec![7; answer.unwrap_or(0)]), 0u64);
            loop {
                tokio::select! {
                    Some((shard, stream)) = new_streams.recv() => {
                        last_link += 1;
                        let link = Link::open(stream, last_link, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
                        let (role, name) = (Role::Node as i32, format!("n{shard}"));
                        let (incarnation, shard_plus_one) = (shard as u64 + 1, shard as i64 + 1);
                        let _ = link.send(Hello { role, name, incarnation, age_us: 1 << 40, shard_plus_one }.into());
                        links.insert(last_link, link);
                    }
                    Some((id, event)) = inbox.recv() => if let LinkEvent::Frame(frame) = event
                        && let Message::Attempt(attempt) = frame.message
                        && answer.is_some()
                    {
                        let reply = AttemptAnswer { attempt: attempt.attempt, result: AttemptResult::Succeeded as i32, ..AttemptAnswer::default() };
                        let _ = links[&id].send(Frame::from(reply).with_body(body.clone()));
                    },
                }
            }
        });
    });
}

fn spawn_named<T: Send + 'static>(
    name: &str,
    work: impl FnOnce() -> T + Send + 'static,
) -> JoinHandle<T> {
    // Profilers show threads by name.
    std::thread::Builder::new()
        .name(name.into())
        .spawn(work)
        .expect("a thread")
}

/// The processor time of a thread, and the counters of its hosts.
pub struct Cost {
    /// Processor time in seconds.
    pub cpu: f64,
    /// Counters by host; empty for a relay.
    pub counts: Vec<Counts>,
}

/// Hosts or a relay that run on a separate thread.
pub struct Running {
    thread: JoinHandle<Cost>,
    stop: Vec<oneshot::Sender<()>>,
}

impl Running {
    /// Stops the thread's hosts or relay and returns their cost.
    pub fn end(self) -> Cost {
        for stop in self.stop {
            let _ = stop.send(());
        }
        self.thread.join().expect("the thread ends")
    }
}

/// Runs hosts of a configuration on one thread: one for each listener, from the index `first` on.
pub fn hosts(d: &Arc<Deployment>, first: usize, listeners: Vec<StdListener>) -> Running {
    let (stop, stopped): (Vec<_>, Vec<_>) = (0..listeners.len())
        .map(|_| oneshot::channel::<()>())
        .unzip();
    let d = d.clone();
    let thread = spawn_named("host", move || {
        let all = current_thread().block_on(async move {
            let mut all = JoinSet::new();
            for (i, (listener, stopped)) in listeners.into_iter().zip(stopped).enumerate() {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let clock = HostClock::start(Span::ZERO);
                let process = HostProcess {
                    deployment: d.clone(),
                    host: HostId((first + i) as u32),
                    seed: 1,
                    incarnation: 1,
                    clock,
                };
                all.spawn(runtime::run(process, listener, None, async {
                    let _ = stopped.await;
                }));
            }
            all.join_all().await
        });
        Cost {
            cpu: thread_cpu_seconds(),
            counts: all,
        }
    });
    Running { thread, stop }
}

/// Runs a relay over as many connections as a host has. It only forwards each client frame to the node of its shard, and
/// each reply to the client: the least that any process between client and nodes must do.
pub fn bare_relay(listener: StdListener, targets: Vec<String>) -> Running {
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = spawn_named("relay", move || {
        current_thread().block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let (sink, mut inbox) = mpsc::channel(1024);
            let mut tasks = JoinSet::new();
            let forwarding = async {
                let (stream, _) = listener.accept().await.expect("the client");
                let client = Link::open(stream, 0, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
                let mut nodes = Vec::new();
                for target in targets {
                    let stream = TcpStream::connect(target).await.expect("the node");
                    nodes.push(Link::open(
                        stream,
                        1,
                        Bounds::DEFAULT,
                        16_384,
                        &sink,
                        &mut tasks,
                    ));
                }
                let mut batch = Vec::new();
                while inbox.recv_many(&mut batch, 256).await > 0 {
                    for (side, event) in batch.drain(..) {
                        if let LinkEvent::Frame(frame) = event {
                            let shard = match &frame.message {
                                Message::Attempt(attempt) => {
                                    attempt.handle.map_or(0, |h| h.shard as usize)
                                }
                                _ => 0,
                            };
                            let _ = if side == 0 {
                                nodes[shard].send(frame)
                            } else {
                                client.send(frame)
                            };
                        }
                    }
                }
            };
            tokio::select! {
                () = forwarding => {}
                _ = stopped => {}
            }
        });
        Cost {
            cpu: thread_cpu_seconds(),
            counts: Vec::new(),
        }
    });
    Running {
        thread,
        stop: vec![stop],
    }
}
