//! A node far away that sends some of its responses a second time, a moment later: nothing in a response names its
//! request, and the copy is on its way when the host writes the next message.

use crate::rig::{Host, discovery, document, read_message, reply, send_request};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time from the host to the node, and back. Longer than [`COPY_DELAY`], so the copy has left the node before the
/// node can have received anything that the host writes after the response.
const ONE_WAY: Duration = Duration::from_millis(10);
/// How long after a response its copy is sent.
const COPY_DELAY: Duration = Duration::from_millis(2);
/// A copy that would be later, since the test's process was held up, is not sent.
const MAX_COPY_DELAY: Duration = Duration::from_millis(8);
/// One of this many responses is sent twice.
const COPY_INTERVAL: usize = 3;
const REQUESTS: u64 = 60;

/// What all connections of the node have seen.
#[derive(Default)]
struct Seen {
    connections: usize,
    messages: usize,
    copies: usize,
    /// How often each request ran, by its trace id.
    runs: BTreeMap<String, usize>,
}

/// What the node sends a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Repeated {
    Responses,
    /// Rejections of requests that the node did not run.
    Rejections,
}

impl Repeated {
    /// The response to the message with this number.
    fn response(self, number: usize, trace: &str, seen: &mut Seen) -> String {
        if self == Repeated::Rejections && number.is_multiple_of(COPY_INTERVAL) {
            return "HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n".to_string();
        }
        *seen.runs.entry(trace.to_string()).or_default() += 1;
        reply(&made_for(trace))
    }
}

fn made_for(trace: &str) -> String {
    format!("made for {trace}")
}

fn trace_id(message: &str) -> String {
    let field = message
        .lines()
        .find_map(|line| line.strip_prefix("X-Trace-Id: "));
    field.unwrap_or_default().to_string()
}

/// Starts the node. It is as far away as its responses are late.
fn distant_node(repeated: Repeated) -> (SocketAddr, Arc<Mutex<Seen>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let shared = seen.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            shared.lock().unwrap().connections += 1;
            let seen = shared.clone();
            std::thread::spawn(move || serve_from_afar(&stream, repeated, &seen));
        }
    });
    (address, seen)
}

fn serve_from_afar(mut stream: &TcpStream, repeated: Repeated, seen: &Mutex<Seen>) {
    stream.set_nodelay(true).unwrap();
    let mut from = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut from) {
        std::thread::sleep(ONE_WAY);
        let number;
        let response;
        {
            let mut seen = seen.lock().unwrap();
            number = seen.messages;
            seen.messages += 1;
            response = repeated.response(number, &trace_id(&message), &mut seen);
        }
        std::thread::sleep(ONE_WAY);
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
        if !number.is_multiple_of(COPY_INTERVAL) {
            continue;
        }
        let sent = Instant::now();
        std::thread::sleep(COPY_DELAY);
        if sent.elapsed() < MAX_COPY_DELAY && stream.write_all(response.as_bytes()).is_ok() {
            seen.lock().unwrap().copies += 1;
        }
    }
}

/// Sends requests one after the other, each as soon as the one before is answered, and checks what clients and the node
/// see.
fn check(repeated: Repeated) {
    let (node, seen) = distant_node(repeated);
    let (address, _polls) = discovery(node);
    let host = Host::with(&document(address).replace("\"pure\"", "\"side_effect\""));
    host.ready();
    let mut client = host.client();
    for number in 1..=REQUESTS {
        send_request(&mut client, number);
        let response = read_message(&mut client).expect("a response");
        let case = format!("{repeated:?}, request {number}: {response}");
        assert!(response.starts_with("HTTP/1.1 200"), "{case}");
        assert!(
            response.ends_with(&made_for(&format!("{number:016x}"))),
            "{case}"
        );
    }
    let seen = seen.lock().unwrap();
    assert!(seen.copies > 0, "{repeated:?}: no copy was sent in time");
    let twice: Vec<_> = seen.runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "{repeated:?}: ran twice: {twice:?}");
    // Each copy costs one connection. Beside the one in use, two at most have carried a response a moment ago.
    assert!(
        seen.connections <= seen.copies + 4,
        "{repeated:?}: {} connections for {} requests and {} copies",
        seen.connections,
        seen.messages,
        seen.copies
    );
}

/// Guards against a client that receives the response to another request.
#[test]
fn a_second_response_on_its_way_is_not_passed_on_for_the_next_request() {
    check(Repeated::Responses);
}

/// Guards against an unrepeatable request that runs twice: the copy of a rejection is taken for the rejection of the
/// next attempt, which the node runs.
#[test]
fn a_second_rejection_on_its_way_does_not_repeat_a_request_that_runs() {
    check(Repeated::Rejections);
}
