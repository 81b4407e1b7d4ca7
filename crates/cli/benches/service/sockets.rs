//! Runs the real host on loopback with a simulated endpoint list and simulated nodes. Each wave of clients connects, sends
//! and withdraws requests, resets connections, and sends incomplete frames or nothing; the host reloads its document
//! meanwhile. After each wave, when all clients have left, a row shows what the process holds.

use crate::{process_status, thirds};
use bytes::BytesMut;
use gullsail_configuration::{Deployment, Memory, load};
use gullsail_host::control::{Control, ControlReply, ControlRequest, send_request};
use gullsail_host::runtime::{self, HostClock, HostProcess};
use gullsail_protocol::{
    Bounds, Frame, Handle, Hello, ListedEndpoint, Message, Role, Submit, Withdraw, decode,
};
use gullsail_scheduler_api::{HostId, ShardId, Span, ZoneId};
use gullsail_simulator::idempotency_keys::{IdempotencyKeys, NodeLocation};
use gullsail_simulator::{discovery, node};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

const NODES: i64 = 4;
/// Clients in each wave.
const CLIENTS: u64 = 150;

/// A log writer that only counts bytes.
struct CountingLog(Arc<AtomicU64>);

impl std::io::Write for CountingLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn document(n: u64, list: &str, nodes: &[String]) -> Deployment {
    let text = |n: u64, after: &str| {
        let mut t = format!(
            "rules tick=\"20ms\"\nstream-type \"read\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\n\
             plan \"p\" limit=\"{}units/s\" burst=2000\nmachine \"box\" cores=4 unit=\"200us\" queue=200\n\
             host \"h1\" address=\"127.0.0.1:0\"\nlist address=\"{list}\"\nvolume \"v\" plan=\"p\"\n\
             volume \"w{n}\" plan=\"p\"\nrevision {n}{after}\n",
            4000 + n
        );
        for (shard, address) in nodes.iter().enumerate() {
            t += &format!("node \"n{shard}\" cell={shard} address=\"{address}\" machine=\"box\"\n");
        }
        t
    };
    let after = if n > 1 { " after=\"old.kdl\"" } else { "" };
    let files = [
        ("new.kdl".to_string(), text(n, after)),
        ("old.kdl".to_string(), text(n.max(2) - 1, "")),
    ];
    load(&Memory(files.into()), "new.kdl")
        .unwrap_or_else(|e| panic!("{:?}", e.problems))
        .0
}

/// Plays one client of a wave; the last digit of `place` selects its behaviour. Returns the number of answers that it
/// received.
async fn client(address: String, place: u64) -> u64 {
    let Ok(mut stream) = TcpStream::connect(&address).await else {
        return 0;
    };
    let wire = |frame: Frame| {
        let mut out = BytesMut::new();
        frame.encode_head(&mut out);
        out.extend_from_slice(&frame.body);
        out
    };
    let hello = Hello {
        role: Role::Client as i32,
        name: "c".into(),
        ..Hello::default()
    };
    if place.is_multiple_of(10) {
        return 0; // sends nothing
    }
    let mut out = wire(hello.into());
    for id in 0..20 {
        let handle = Some(Handle {
            shard: (place + id) as i64 % NODES,
            object: id,
        });
        let (request_class, volume) = ("read".into(), "v".into());
        let s = Submit {
            id,
            request_class,
            volume,
            units: 1.0,
            handle,
            timeout_us: 1_500_000,
            ..Submit::default()
        };
        out.extend(wire(s.into()));
        if place % 10 == 3 {
            out.extend(wire(Withdraw { id }.into()));
        }
    }
    let full_length = out.len();
    let sent = if place % 10 == 4 {
        &out[..full_length / 2 + 3]
    } else {
        &out[..]
    };
    if stream.write_all(sent).await.is_err() || place % 10 < 3 {
        return 0; // closing with unread answers resets the connection
    }
    let (mut buf, mut answers) = (BytesMut::new(), 0);
    let reading = async {
        while answers < 20 {
            match decode(&mut buf, Bounds::DEFAULT) {
                Ok(Some(frame)) => {
                    answers += u64::from(matches!(frame.message, Message::Answer(_)))
                }
                Ok(None) => match stream.read_buf(&mut buf).await {
                    Ok(0) | Err(_) => break,
                    Ok(_) => {}
                },
                Err(_) => break,
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(400), reading).await;
    answers
}

/// Plays the waves and prints a row for each, then the means of the first and of the last third.
pub fn run(waves: usize) {
    let log = Arc::new(AtomicU64::new(0));
    let written = log.clone();
    tracing_subscriber::fmt()
        .with_writer(move || CountingLog(written.clone()))
        .init();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bind = || std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let (listener, list_at): (_, _) = (bind(), bind());
    let nodes_at: Vec<_> = (0..NODES).map(|_| bind()).collect();
    let address_of = |l: &std::net::TcpListener| l.local_addr().expect("an address").to_string();
    let (address, list_address) = (address_of(&listener), address_of(&list_at));
    let nodes: Vec<String> = nodes_at.iter().map(address_of).collect();
    let all = [&listener, &list_at].into_iter().chain(&nodes_at);
    all.for_each(|l| l.set_nonblocking(true).expect("non-blocking"));
    let d = Arc::new(document(1, &list_address, &nodes));
    let socket = std::env::temp_dir().join(format!("gullsail-service-{}.sock", std::process::id()));
    let revision = Arc::new(Mutex::new(1));
    let (of_reload, list_of, nodes_of) = (revision.clone(), list_address, nodes);
    let load_document = move || {
        Ok(document(
            *of_reload.lock().expect("no poison"),
            &list_of,
            &nodes_of,
        ))
    };
    // The simulated list and nodes run on a separate thread, so that only the host's tasks are counted.
    let simulated = d.clone();
    std::thread::spawn(move || {
        Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime")
            .block_on(async move {
                let entries = |d: &Deployment| {
                    let entry = |n: &gullsail_configuration::NodePlace| ListedEndpoint {
                        name: n.place.name.clone(),
                        address: n.place.address.clone(),
                        shard: n.shard.0,
                        ..ListedEndpoint::default()
                    };
                    d.nodes.iter().map(entry).collect::<Vec<_>>()
                };
                let mut serving = JoinSet::new();
                let at = TcpListener::from_std(list_at).expect("a listener");
                serving.spawn(discovery::serve(entries(&simulated), Span::ZERO, at));
                for (shard, at) in nodes_at.into_iter().enumerate() {
                    let location = NodeLocation {
                        zone: ZoneId(0),
                        shard: ShardId(shard as i64),
                    };
                    let process = node::NodeProcess {
                        name: format!("n{shard}"),
                        shard: shard as i64,
                        server: simulated.servers[0].clone(),
                        slow_start: simulated.figures().slow_start,
                        incarnation: 7,
                        age: Span::from_millis(1e7),
                        bounds: Bounds::DEFAULT,
                        keys: IdempotencyKeys::of_one_node(&simulated, &location),
                    };
                    serving.spawn(node::serve(
                        process,
                        TcpListener::from_std(at).expect("a listener"),
                    ));
                }
                serving.join_all().await;
            });
    });
    let clients = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let metrics = runtime.metrics();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let control = socket.clone();
    let host = std::thread::spawn(move || {
        runtime.block_on(async move {
            let control =
                Control::bind(&control, Arc::new(load_document)).expect("a control socket");
            let clock = HostClock::start(Span::ZERO);
            let process = HostProcess {
                deployment: d,
                host: HostId(0),
                seed: 1,
                incarnation: 9,
                clock,
            };
            let listener = TcpListener::from_std(listener).expect("a listener");
            let stop = async {
                let _ = stopped.await;
            };
            runtime::run(process, listener, Some(control), stop).await
        })
    });
    println!("wave  answers  descriptors  threads  tasks  resident MB  log KB  open  held bytes");
    let (mut rows, mut accepted) = (Vec::<[f64; 5]>::new(), 0);
    for wave in 0..waves {
        *revision.lock().expect("no poison") = wave as u64 + 2;
        let before = log.load(Ordering::Relaxed);
        let (answers, reload) = clients.block_on(async {
            let mut all = JoinSet::new();
            (0..CLIENTS).for_each(|place| _ = all.spawn(client(address.clone(), place)));
            tokio::time::sleep(Duration::from_millis(50)).await;
            let reload = send_request(
                &socket,
                ControlRequest::Reload { insist: true },
                Duration::from_secs(10),
            )
            .await;
            let answers: u64 = all.join_all().await.into_iter().sum();
            // The host closes connections without a `Hello` after four connect timeouts. After that nothing is in
            // progress.
            tokio::time::sleep(Duration::from_millis(300)).await;
            (answers, reload)
        });
        accepted += usize::from(matches!(reload, Ok(ControlReply::Taken { .. })));
        let state = clients.block_on(send_request(
            &socket,
            ControlRequest::Status,
            Duration::from_secs(10),
        ));
        let Ok(ControlReply::Status(state)) = state else {
            panic!("{state:?}")
        };
        let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let log_kb = (log.load(Ordering::Relaxed) - before) as f64 / 1e3;
        let row = [
            descriptors as f64,
            process_status("Threads:"),
            metrics.num_alive_tasks() as f64,
            process_status("VmRSS:") / 1e3,
            log_kb,
        ];
        rows.push(row);
        println!(
            "{wave:>4} {answers:>8} {:>12} {:>8} {:>6} {:>12.1} {:>7.1} {:>5} {:>11}",
            row[0], row[1], row[2], row[3], row[4], state.open, state.held_bytes
        );
    }
    let _ = stop.send(());
    let counts = host.join().expect("the host ends");
    println!("{accepted} of {waves} documents accepted; {counts:?}");
    let names = [
        "descriptors",
        "threads",
        "tasks",
        "resident MB",
        "log KB a wave",
    ];
    for (place, name) in names.iter().enumerate() {
        let (first, last) = thirds(&rows.iter().map(|r| r[place]).collect::<Vec<_>>());
        println!("{name:<14} first third {first:>8.1}, last third {last:>8.1}");
    }
}
