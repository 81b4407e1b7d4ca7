//! A run of `gullsail platform`.

use super::clients::{self, Client, Shared};
use super::draw::{Draw, Lost};
use super::platform_rig::{Host, document, read_message, reply, serve};
use super::verdict::{Exit, Look, Sent, Stop, Verdict, judge, look};
use nix::sys::signal::Signal;
use rand::Rng;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The host's limit of file descriptors. It leaves 139 for client connections. A crowd of 100 to 300 clients
/// can exceed that.
const DESCRIPTORS: usize = 256;
/// The receive buffer of a slow reader, in bytes.
const SMALL_WINDOW: usize = 2 << 10;
/// How long a slow reader waits before it reads.
const SLOW_READER_PAUSE: Duration = Duration::from_millis(60);
/// How much longer than its deadline a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// How long clients continue after the time at which the platform kills the host, also if the host exited earlier.
const AFTER_KILL: Duration = Duration::from_millis(300);

/// Switches that silence scripted peers during a run, shared with the peers' threads.
#[derive(Clone, Default)]
struct Silent {
    node: Arc<AtomicBool>,
    discovery: Arc<AtomicBool>,
}

/// Plays a run; returns the verdict and the lines of the host's log.
pub fn play(draw: &Draw) -> (Verdict, Vec<String>) {
    let silent = Silent::default();
    let discovery = start_peers(draw, &silent);
    let mut host = Host::with_descriptors(&document_of(draw, discovery), DESCRIPTORS);
    host.ready();
    let shared = Shared::new(draw.clone(), host.address);
    let mut threads = clients::start(&shared, 0..draw.clients, serve_connection);
    let signalled = Duration::from_millis(draw.stop_after_ms);
    for event in events(draw) {
        shared.sleep_until(at(signalled, event.at_ms));
        match event.action {
            Action::Signal(signal) => host.signal(signal),
            Action::Crowd(count) => {
                let numbers = draw.clients..draw.clients + count;
                threads.extend(clients::start(&shared, numbers, serve_connection));
            }
            Action::Lost(Lost::Node) => silent.node.store(true, Ordering::Relaxed),
            Action::Lost(_) => silent.discovery.store(true, Ordering::Relaxed),
        }
    }
    let kill_at = signalled + Duration::from_millis(draw.grace_ms());
    let stop = wait_for_end(&shared, &mut host.child, signalled, kill_at);
    shared.sleep_until(kill_at + AFTER_KILL);
    shared.end();
    for thread in threads {
        thread.join().expect("a client ends");
    }
    let (sent, extra) = shared.results();
    (judge(&sent, &extra, &stop), host.log_lines())
}

/// Waits until the host has exited, or kills it at `kill_at`.
fn wait_for_end(
    shared: &Shared,
    child: &mut Child,
    signalled: Duration,
    kill_at: Duration,
) -> Stop {
    loop {
        if let Some(status) = child.try_wait().expect("the host is a child") {
            let code = status.code();
            let signal = status.signal().unwrap_or_default();
            return Stop {
                signalled,
                exit: Exit::Code(code.unwrap_or(128 + signal)),
                ended: shared.now(),
            };
        }
        if shared.now() >= kill_at {
            child.kill().expect("the host is a child");
            child.wait().expect("the host is a child");
            let (exit, ended) = (Exit::Killed, shared.now());
            return Stop {
                signalled,
                exit,
                ended,
            };
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn at(signalled: Duration, offset_ms: i64) -> Duration {
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    if offset_ms < 0 {
        signalled.saturating_sub(offset)
    } else {
        signalled + offset
    }
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Signal(Signal),
    Crowd(usize),
    Lost(Lost),
}

struct Event {
    at_ms: i64,
    action: Action,
}

/// The events of a run, in order of time.
fn events(draw: &Draw) -> Vec<Event> {
    let signals = draw.signals.iter().map(|signal| Event {
        at_ms: signal.at_ms,
        action: Action::Signal(signal.signal),
    });
    let mut events: Vec<Event> = signals.collect();
    events.push(Event {
        at_ms: 0,
        action: Action::Signal(Signal::SIGTERM),
    });
    events.extend(draw.crowd.map(|crowd| Event {
        at_ms: crowd.at_ms,
        action: Action::Crowd(crowd.clients),
    }));
    if draw.lost != Lost::Nothing {
        events.push(Event {
            at_ms: draw.lost_at_ms,
            action: Action::Lost(draw.lost),
        });
    }
    events.sort_by_key(|event| event.at_ms);
    events
}

/// Starts the nodes and discovery; returns discovery's address. A silenced peer stops answering.
fn start_peers(draw: &Draw, silent: &Silent) -> SocketAddr {
    let body = "b".repeat(draw.response_bytes);
    let delay = Duration::from_millis(draw.node_delay_ms);
    let start_node = |place: usize| {
        let body = body.clone();
        let hangs = place < draw.hanging_nodes;
        let lost = (place + 1 == draw.nodes).then(|| silent.node.clone());
        serve(move |_| {
            let is_lost = lost
                .as_ref()
                .is_some_and(|lost| lost.load(Ordering::Relaxed));
            if hangs || is_lost {
                return None;
            }
            std::thread::sleep(delay);
            Some(reply(&body))
        })
    };
    let nodes: Vec<SocketAddr> = (0..draw.nodes).map(start_node).collect();
    let entry = |(place, dial): (usize, &SocketAddr)| {
        format!(
            r#"{{"host":"s-{place}","dial":"{dial}","site":"a","class":"m","block":0,"health":"SERVING","share":1.0,"born_ms":0}}"#
        )
    };
    let entries: Vec<String> = nodes.iter().enumerate().map(entry).collect();
    let page = format!(
        r#"{{"seq":4,"whole":true,"hosts":[{}]}}"#,
        entries.join(",")
    );
    let lost = silent.discovery.clone();
    serve(move |text| {
        let answers = !text.contains("after=") && !lost.load(Ordering::Relaxed);
        answers.then(|| reply(&page))
    })
}

/// The rig's document with the times of this run, more descriptors and a class that writes.
fn document_of(draw: &Draw, discovery: SocketAddr) -> String {
    let times = format!(
        "\"give-up\":{}.0,\"objective\":{}.0",
        draw.deadline_ms, draw.objective_ms
    );
    let read = "{\"name\":\"read\",\"effect\":\"pure\",";
    let write = format!(
        "{{\"name\":\"write\",\"effect\":\"token\",\"group\":\"cell\",\"window\":5000.0,{times}}},"
    );
    document(discovery)
        .replace("\"give-up\":9000.0,\"objective\":9000.0", &times)
        .replace(read, &format!("{write}{read}"))
        .replace("\"writes\":[false]", "\"writes\":[true,false]")
        .replace("\"sockets\":64", &format!("\"sockets\":{DESCRIPTORS}"))
}

/// Plays one connection of a client until it ends.
fn serve_connection(client: &mut Client) {
    let Some(mut reader) = connect(client) else {
        return;
    };
    while client.think() {
        match look(reader.get_ref()) {
            Look::End => return,
            Look::Bytes => {
                let what = format!(
                    "client {} got an answer that it had not asked for",
                    client.number
                );
                return client.shared.record_extra_answer(what);
            }
            Look::Nothing => {}
        }
        let mut sent = send_burst(client, reader.get_mut());
        let stays_open = read_answers(client, &mut reader, &mut sent);
        client.shared.record(sent);
        if !stays_open {
            return;
        }
    }
}

fn is_slow(client: &Client) -> bool {
    client.number < client.shared.draw.slow_readers
}

fn connect(client: &Client) -> Option<BufReader<TcpStream>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    if is_slow(client) {
        socket.set_recv_buffer_size(SMALL_WINDOW).ok()?;
    }
    socket.connect(&client.shared.host.into()).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(client.shared.deadline() + PATIENCE))
        .ok()?;
    Some(BufReader::new(stream))
}

/// A read, or a write with a body.
fn request_text(client: &mut Client, id: u64) -> String {
    let draw = &client.shared.draw;
    let (deadline, bytes) = (draw.deadline_ms, draw.request_bytes);
    let writes = bytes > 0 && client.rng.random_bool(0.5);
    let (method, class) = if writes {
        ("PUT", "write")
    } else {
        ("GET", "read")
    };
    let head = format!(
        "{method} /{class}/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id:016x}\r\n\
         X-Qos: {class}\r\nX-Storage-Class: free\r\nX-Expires-In-Ms: {deadline}\r\nX-Extent: units=1,shard=0,hosts=1\r\n"
    );
    if writes {
        let body = "w".repeat(bytes);
        format!("{head}Idempotency-Key: k{id}\r\nContent-Length: {bytes}\r\n\r\n{body}")
    } else {
        head + "\r\n"
    }
}

/// Sends some requests, each in a separate write or all in one. Returns those that were completely written. With
/// separate writes, the client stops once anything has arrived on the connection.
fn send_burst(client: &mut Client, stream: &mut TcpStream) -> Vec<Sent> {
    let mut requests = Vec::new();
    for _ in 0..client.draw_burst() {
        let id = client.shared.next_id();
        requests.push((id, request_text(client, id)));
    }
    let mut sent = Vec::new();
    if client.rng.random_bool(0.5) {
        let all: String = requests.iter().map(|(_, text)| text.as_str()).collect();
        if stream.write_all(all.as_bytes()).is_ok() {
            let crossed = look(stream) == Look::End;
            let record =
                |(place, (id, _)): (usize, &(u64, String))| client.sent(*id, place, crossed);
            sent.extend(requests.iter().enumerate().map(record));
        }
        return sent;
    }
    for (place, (id, text)) in requests.iter().enumerate() {
        if look(stream) != Look::Nothing || stream.write_all(text.as_bytes()).is_err() {
            break;
        }
        sent.push(client.sent(*id, place, look(stream) == Look::End));
    }
    sent
}

/// Reads the answers in order. Returns whether the connection stays in use.
fn read_answers(client: &Client, reader: &mut BufReader<TcpStream>, sent: &mut [Sent]) -> bool {
    if sent.is_empty() {
        return false;
    }
    if is_slow(client) {
        std::thread::sleep(SLOW_READER_PAUSE);
    }
    let mut announced = false;
    for request in sent.iter_mut() {
        match read_message(reader) {
            Some(text) => {
                announced |= text.contains("Connection: close");
                let status = text.get(9..12).unwrap_or("?").to_string();
                request.answer = Some((client.shared.now(), status));
            }
            None => {
                request.ended = Some(client.shared.now());
                announced = true;
            }
        }
    }
    let nothing_came = sent.iter().all(|request| request.answer.is_none());
    if nothing_came && ended_in_order(reader) {
        for request in sent.iter_mut() {
            request.unanswered_in_order = true;
        }
    }
    !announced
}

/// The host closed its direction, and there was no reset.
fn ended_in_order(reader: &mut BufReader<TcpStream>) -> bool {
    let nothing_buffered = reader.buffer().is_empty();
    nothing_buffered && matches!(reader.get_mut().read(&mut [0; 1]), Ok(0))
}
