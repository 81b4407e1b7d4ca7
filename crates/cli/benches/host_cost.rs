//! What the host costs, as ratios within one run. `cargo bench -p gullsail-cli --bench host_cost -- MODE`:
//!
//! * `cost` (as `cargo bench` runs it): a host and a bare relay of the same frames, each on one thread, the same
//!   client and the same nodes that answer at once: requests for a second of that thread's processor time, and
//!   the time of one request at a time.
//! * `memory`: bytes for each open request. `soak SECONDS`: resident memory while it serves.
//! * `scale`: 10, 50 and 100 hosts, 60 nodes, volumes over all hosts: demand reports and processor time by request.

use bytes::Bytes;
use gullsail_configuration::{Deployment, parse};
use gullsail_connections::{Happened, Link};
use gullsail_host::core::Counts;
use gullsail_host::drive::{self, HostClock, HostProcess};
use gullsail_protocol::*;
use gullsail_scheduler_api::{HostId, Span};
use hdrhistogram::Histogram;
use nix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn cpu() -> f64 {
    let t = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("this thread's processor time");
    t.tv_sec() as f64 + t.tv_nsec() as f64 / 1e9
}

fn listeners(count: usize) -> (Vec<StdListener>, Vec<String>) {
    let all: Vec<_> = (0..count).map(|_| StdListener::bind("127.0.0.1:0").expect("a port")).collect();
    all.iter().for_each(|l| l.set_nonblocking(true).expect("non-blocking"));
    let addresses = all.iter().map(|l| l.local_addr().expect("an address").to_string()).collect();
    (all, addresses)
}

fn document(hosts: &[String], nodes: &[String], plan: &str) -> Arc<Deployment> {
    let text = document_text(hosts, nodes, plan);
    Arc::new(parse("bench.kdl", &text).unwrap_or_else(|p| panic!("{:?}", p.problems)))
}

fn document_text(hosts: &[String], nodes: &[String], plan: &str) -> String {
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

/// Nodes that answer at once, or never; all on one thread, for as long as the process incarnations.
fn nodes(listeners: Vec<StdListener>, answer: Option<usize>) {
    std::thread::spawn(move || {
        runtime().block_on(async move {
            let (sink, mut inbox) = mpsc::channel(4096);
            let (mut tasks, mut links) = (JoinSet::new(), BTreeMap::new());
            let (opened, mut opening) = mpsc::channel(64);
            for (shard, listener) in listeners.into_iter().enumerate() {
                let (listener, opened) = (TcpListener::from_std(listener).expect("a listener"), opened.clone());
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let _ = opened.send((shard, stream)).await;
                    }
                });
            }
            let (body, mut last) = (Bytes::from(vec![7; answer.unwrap_or(0)]), 0u64);
            loop {
                tokio::select! {
                    Some((shard, stream)) = opening.recv() => {
                        last += 1;
                        let link = Link::open(stream, last, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
                        let (role, name) = (Role::Node as i32, format!("n{shard}"));
                        let (incarnation, shard_plus_one) = (shard as u64 + 1, shard as i64 + 1);
                        let _ = link.send(Hello { role, name, incarnation, age_us: 1 << 40, shard_plus_one }.into());
                        links.insert(last, link);
                    }
                    Some((id, happened)) = inbox.recv() => if let Happened::Frame(frame) = happened
                        && let Message::Attempt(attempt) = frame.message
                        && answer.is_some()
                    {
                        let a = AttemptAnswer { attempt: attempt.attempt, result: AttemptResult::Succeeded as i32, ..AttemptAnswer::default() };
                        let _ = links[&id].send(Frame::from(a).with_body(body.clone()));
                    },
                }
            }
        });
    });
}

fn named<T: Send + 'static>(name: &str, work: impl FnOnce() -> T + Send + 'static) -> JoinHandle<T> {
    // Profiles tell threads apart by their names.
    std::thread::Builder::new().name(name.into()).spawn(work).expect("a thread")
}

struct Running {
    thread: JoinHandle<(f64, Vec<Counts>)>,
    stop: Vec<oneshot::Sender<()>>,
}

impl Running {
    /// The processor time of its thread, and what its hosts counted.
    fn end(self) -> (f64, Vec<Counts>) {
        self.stop.into_iter().for_each(|s| _ = s.send(()));
        self.thread.join().expect("the thread ends")
    }
}

/// Hosts of a document from this one on, all on one thread.
fn hosts(d: &Arc<Deployment>, first: usize, listeners: Vec<StdListener>) -> Running {
    let (stop, stopped): (Vec<_>, Vec<_>) = (0..listeners.len()).map(|_| oneshot::channel::<()>()).unzip();
    let d = d.clone();
    let thread = named("host", move || {
        let all = runtime().block_on(async move {
            let mut all = JoinSet::new();
            for (i, (listener, stopped)) in listeners.into_iter().zip(stopped).enumerate() {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let clock = HostClock::start(Span::ZERO);
                let process = HostProcess {
                    deployment: d.clone(),
                    me: HostId((first + i) as u32),
                    seed: 1,
                    incarnation: 1,
                    clock,
                };
                all.spawn(drive::run(process, listener, None, async {
                    let _ = stopped.await;
                }));
            }
            all.join_all().await
        });
        (cpu(), all)
    });
    Running { thread, stop }
}

/// Passes frames on to the node of their shard, over as many connections as a host has, and does nothing else:
/// what any process between client and nodes must do.
fn bare_relay(listener: StdListener, targets: Vec<String>) -> Running {
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = named("relay", move || {
        runtime().block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let (sink, mut inbox) = mpsc::channel(1024);
            let mut tasks = JoinSet::new();
            let passing = async {
                let (stream, _) = listener.accept().await.expect("the client");
                let client = Link::open(stream, 0, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
                let mut nodes = Vec::new();
                for target in targets {
                    let other = TcpStream::connect(target).await.expect("the node");
                    nodes.push(Link::open(other, 1, Bounds::DEFAULT, 16_384, &sink, &mut tasks));
                }
                let mut batch = Vec::new();
                while inbox.recv_many(&mut batch, 256).await > 0 {
                    for (side, happened) in batch.drain(..) {
                        if let Happened::Frame(frame) = happened {
                            let shard = match &frame.message {
                                Message::Attempt(l) => l.handle.map_or(0, |h| h.shard as usize),
                                _ => 0,
                            };
                            let _ = if side == 0 { nodes[shard].send(frame) } else { client.send(frame) };
                        }
                    }
                }
            };
            tokio::select! {
                () = passing => {}
                _ = stopped => {}
            }
        });
        (cpu(), Vec::new())
    });
    Running { thread, stop: vec![stop] }
}

struct Load {
    /// Requests out at a time over all connections; 0: as many as come in `rate`.
    outstanding: usize,
    rate: f64,
    seconds: f64,
    shards: i64,
    bytes: usize,
    /// Seconds for connections to stand and clocks to be known.
    warm: f64,
}

/// Plays clients; how many were done, and the time of each in microseconds.
fn clients(addresses: &[String], load: &Load, as_attempts: bool) -> (u64, u64, Histogram<u64>) {
    runtime().block_on(async {
        let (sink, mut inbox) = mpsc::channel(4096);
        let (mut tasks, mut links) = (JoinSet::new(), Vec::new());
        for (i, a) in addresses.iter().enumerate() {
            let stream = TcpStream::connect(a).await.expect("the host");
            let link = Link::open(stream, i, Bounds::DEFAULT, 65_536, &sink, &mut tasks);
            let _ =
                link.send(Hello { role: Role::Client as i32, name: "c".into(), ..Hello::default() }.into());
            links.push(link);
        }
        tokio::time::sleep(Duration::from_secs_f64(load.warm)).await;
        let (mut began, mut done, mut other, mut last) = (BTreeMap::new(), 0u64, 0u64, 0u64);
        let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("a histogram");
        let body = Bytes::from(vec![1; load.bytes]);
        let start = Instant::now();
        let mut batch = Vec::new();
        let send = |last: &mut u64, began: &mut BTreeMap<u64, Instant>| {
            *last += 1;
            let handle = Some(Handle { shard: *last as i64 % load.shards, object: *last });
            let (request_class, mark) = ("read".to_string(), format!("m{last}"));
            // Each host is asked for both in turn.
            let volume = if (*last as usize / links.len()).is_multiple_of(2) { "v" } else { "w" }.to_string();
            let frame: Frame = if as_attempts {
                Attempt {
                    attempt: *last,
                    request_class,
                    volume,
                    units: 1.0,
                    handle,
                    mark,
                    time_out_us: 1_000_000,
                    ..Attempt::default()
                }
                .into()
            } else {
                Submit {
                    id: *last,
                    request_class,
                    volume,
                    units: 1.0,
                    handle,
                    mark,
                    timeout_us: 4_000_000,
                    ..Submit::default()
                }
                .into()
            };
            began.insert(*last, Instant::now());
            let _ = links[*last as usize % links.len()].send(frame.with_body(body.clone()));
        };
        let mut due = start;
        while start.elapsed().as_secs_f64() < load.seconds
            || load.rate > 0.0 && !began.is_empty() && start.elapsed().as_secs_f64() < load.seconds + 2.0
        {
            while load.rate > 0.0 && due <= Instant::now() && start.elapsed().as_secs_f64() < load.seconds {
                send(&mut last, &mut began);
                due += Duration::from_secs_f64(1.0 / load.rate);
            }
            while load.rate == 0.0 && began.len() < load.outstanding {
                send(&mut last, &mut began);
            }
            tokio::select! {
                _ = inbox.recv_many(&mut batch, 256) => for (_, happened) in batch.drain(..) {
                    let Happened::Frame(frame) = happened else { continue };
                    let (id, ok) = match frame.message {
                        Message::Answer(a) => (a.id, a.outcome == Outcome::Succeeded as i32),
                        Message::AttemptAnswer(a) => (a.attempt, a.result == AttemptResult::Succeeded as i32),
                        Message::NotTaken(n) => (n.id, false),
                        _ => continue,
                    };
                    if let Some(at) = began.remove(&id) {
                        times.saturating_record(at.elapsed().as_micros() as u64);
                        if ok { done += 1 } else { other += 1 }
                    }
                },
                () = tokio::time::sleep(Duration::from_millis(1)), if load.rate > 0.0 => {}
            }
        }
        (done, other, times)
    })
}

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or_default() * 4096
}

fn one(bytes: usize, outstanding: usize, seconds: f64, relay: bool) -> (f64, f64, Histogram<u64>) {
    let count = 8;
    let ((nl, na), (hl, ha)) = (listeners(count), listeners(1));
    nodes(nl, Some(bytes));
    let running = if relay {
        bare_relay(hl.into_iter().next().expect("one"), na)
    } else {
        hosts(&document(&ha, &na, ""), 0, hl)
    };
    let load = Load { outstanding, rate: 0.0, seconds, shards: count as i64, bytes: 0, warm: 0.5 };
    let (done, other, times) = clients(&ha, &load, relay);
    assert!(other * 100 <= done, "{other} not done beside {done}");
    let (cpu, _) = running.end();
    (done as f64 / cpu, done as f64 / seconds, times)
}

fn cost() {
    println!("bytes  out at a time   who    transfers/cpu-s  transfers/s   p50 us   p99 us");
    for (bytes, outstanding) in [(0, 128), (1024, 128), (65_536, 64), (0, 1), (1024, 1)] {
        let mut seen = Vec::new();
        // Twice each, in turn: the second round is shown, the first warms up.
        for round in 0..2 {
            for relay in [true, false] {
                let (by_cpu, by_time, times) =
                    one(bytes, outstanding, if round == 0 { 0.5 } else { 4.0 }, relay);
                if round == 1 {
                    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
                    let who = if relay { "relay" } else { "host" };
                    println!(
                        "{bytes:>6} {outstanding:>13}  {who:>6} {by_cpu:>15.0} {by_time:>12.0} {p50:>8} {p99:>8}"
                    );
                    seen.push((by_cpu, p50, p99));
                }
            }
        }
        let (relay, host) = (seen[0], seen[1]);
        println!(
            "       host/relay: {:.2} of its transfers by processor time, p50 x{:.2}, p99 x{:.2}",
            host.0 / relay.0,
            host.1 as f64 / relay.1.max(1) as f64,
            host.2 as f64 / relay.2.max(1) as f64
        );
    }
}

/// The same load at a host with a fleet and without one, in turn.
fn fleet() {
    let (mut ratios, limit) = (Vec::new(), "limit=\"1000000000units/s\" burst=1000000000");
    let entries = ["", "fleet \"f\" lease=\"1s\" drift=0.001 voters=1 floor=0.3\n"];
    for round in 0..33 {
        // In turn, and in the other order each time: the machine's own pace drifts.
        let order = if round % 2 == 0 { [0, 1] } else { [1, 0] };
        let mut by_cpu = [0.0; 2];
        for which in order {
            let entry = entries[which];
            let ((nl, na), (hl, ha)) = (listeners(8), listeners(1));
            nodes(nl, Some(0));
            let text = document_text(&ha, &na, limit) + entry;
            let d = parse("bench.kdl", &text).unwrap_or_else(|p| panic!("{:?}", p.problems));
            let running = hosts(&Arc::new(d), 0, hl);
            let load = Load { outstanding: 128, rate: 0.0, seconds: 1.0, shards: 8, bytes: 0, warm: 0.5 };
            let (done, ..) = clients(&ha, &load, false);
            by_cpu[which] = done as f64 / running.end().0;
        }
        println!("round {round}: off {:.0}, on {:.0} transfers by processor second", by_cpu[0], by_cpu[1]);
        ratios.extend((round > 0).then_some(by_cpu[0] / by_cpu[1] - 1.0));
    }
    ratios.sort_by(f64::total_cmp);
    let at = |part: f64| ratios[(ratios.len() as f64 * part) as usize] * 100.0;
    let (least, median, most) = (at(0.25), at(0.5), at(0.75));
    println!(
        "on costs {median:.1}% more (median of {}; the middle half {least:.1}% to {most:.1}%)",
        ratios.len()
    );
}

fn memory() {
    for round in 0..2 {
        let ((nl, na), (hl, ha)) = (listeners(8), listeners(1));
        nodes(nl, None);
        let running = hosts(&document(&ha, &na, ""), 0, hl);
        let before = resident();
        let load = Load { outstanding: 0, rate: 40_000.0, seconds: 0.75, shards: 8, bytes: 0, warm: 0.5 };
        let watch = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1300));
            resident()
        });
        let (_, other, _) = clients(&ha, &load, false);
        let open = watch.join().expect("the watch") - before;
        let (_, counts) = running.end();
        println!(
            "round {round}: {} open at most, {other} deferred: {} bytes each (client and host together)",
            counts[0].most_open,
            open / counts[0].most_open.max(1) as usize
        );
    }
}

fn soak(seconds: f64) {
    let ((nl, na), (hl, ha)) = (listeners(8), listeners(1));
    nodes(nl, Some(1024));
    let running = hosts(&document(&ha, &na, ""), 0, hl);
    let watch = std::thread::spawn(move || {
        for minute in 0..=(seconds / 60.0) as u64 {
            println!("minute {minute}: {:.1} MB resident", resident() as f64 / 1e6);
            std::thread::sleep(Duration::from_secs(60));
        }
    });
    let load = Load { outstanding: 0, rate: 3000.0, seconds, shards: 8, bytes: 0, warm: 0.5 };
    let (done, other, times) = clients(&ha, &load, false);
    println!(
        "{done} done, {other} not; p50 {} us, p99 {} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99)
    );
    println!("at the end: {:.1} MB resident", resident() as f64 / 1e6);
    running.end();
    drop(watch);
}

/// Hosts of one process: a hundred hosts hold more connections than one may.
const HOSTS_A_PROCESS: usize = 25;

/// Runs some hosts of a document until standard input ends; writes processor time and demand reports sent.
fn scale_part(file: &str, from: usize, to: usize) {
    let text = std::fs::read_to_string(file).expect("the document");
    let d = Arc::new(parse(file, &text).unwrap_or_else(|p| panic!("{:?}", p.problems)));
    let bind = |h: usize| {
        let listener = StdListener::bind(&d.hosts[h].address).expect("its port is still free");
        listener.set_nonblocking(true).expect("non-blocking");
        listener
    };
    let running = hosts(&d, from, (from..to).map(bind).collect());
    let _ = std::io::stdin().read_line(&mut String::new());
    let (cpu, counts) = running.end();
    println!("{cpu} {}", counts.iter().map(|c| c.demand_reports_sent).sum::<u64>());
}

fn scale() {
    println!(
        "hosts  transfers/s  done  labels/s  labels by transfer  host cpu us by transfer  p50 us  p99 us"
    );
    for count in [10, 50, 100] {
        let ((nl, na), (hl, ha)) = (listeners(60), listeners(count));
        nodes(nl, Some(1024));
        // A limit a quarter over what is asked: hosts that are asked for more for a moment borrow.
        let plan = format!("limit=\"1250units/s\" burst={}", 16 * count.max(70));
        let file = std::env::temp_dir().join(format!("gullsail-scale-{}-{count}.kdl", std::process::id()));
        std::fs::write(&file, document_text(&ha, &na, &plan)).expect("the document");
        drop(hl);
        let parts: Vec<_> = (0..count)
            .step_by(HOSTS_A_PROCESS)
            .map(|from| {
                let to = (from + HOSTS_A_PROCESS).min(count);
                Command::new(std::env::current_exe().expect("this program"))
                    .args(["scale-part", &file.display().to_string(), &from.to_string(), &to.to_string()])
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .spawn()
                    .expect("a part")
            })
            .collect();
        std::thread::sleep(Duration::from_secs(1));
        let load = Load { outstanding: 0, rate: 2000.0, seconds: 20.0, shards: 60, bytes: 0, warm: 4.0 };
        let (done, other, times) = clients(&ha, &load, false);
        let (mut cpu, mut demand_reports) = (0.0, 0.0);
        for mut part in parts {
            drop(part.stdin.take());
            let out = part.wait_with_output().expect("what it counted");
            let text = String::from_utf8_lossy(&out.stdout).into_owned();
            let mut figures = text.split_whitespace().filter_map(|f| f.parse::<f64>().ok());
            cpu += figures.next().expect("processor time");
            demand_reports += figures.next().expect("labels");
        }
        let _ = std::fs::remove_file(&file);
        let all = (done + other).max(1) as f64;
        println!(
            "{count:>5} {:>12.0} {:>5.2} {:>9.0} {:>19.2} {:>24.0} {:>7} {:>7}",
            all / load.seconds,
            done as f64 / all,
            demand_reports / load.seconds,
            demand_reports / all,
            cpu / all * 1e6,
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99)
        );
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    match arguments.first().map(String::as_str) {
        None | Some("cost") => cost(),
        Some("fleet") => fleet(),
        Some("memory") => memory(),
        Some("scale") => scale(),
        Some("scale-part") => match &arguments[1..] {
            [file, from, to] => {
                scale_part(file, from.parse().expect("a place"), to.parse().expect("a place"))
            }
            _ => eprintln!("scale-part FILE FROM TO"),
        },
        Some("soak") => soak(arguments.get(1).and_then(|s| s.parse().ok()).unwrap_or(600.0)),
        Some(other) => eprintln!("no mode is called {other}: cost, fleet, memory, scale, soak SECONDS"),
    }
}
