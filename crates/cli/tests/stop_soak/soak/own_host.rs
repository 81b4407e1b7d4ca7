//! A run of `gullsail host`, with simulated nodes as processes. To make a node hang, the run pauses its process.

use super::clients::{self, Client, Shared};
use super::draw::Draw;
use super::frame_client;
use super::operators::{self, OperatorReport};
use super::verdict::{Exit, Look, Sent, Stop, Verdict, judge, look};
use gullsail_protocol::{Message, Outcome};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How much longer than its deadline a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// The host must exit within this time after the longest deadline: in it, clients leave and the host writes its
/// remaining output.
const EXIT_TIME: Duration = Duration::from_secs(4);
/// The host's tick. Answers are sent two ticks before their deadline, which leaves time on a busy machine.
const TICK_MS: u64 = 100;

/// A process of a run, killed by its own id when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts the program and waits until it listens. Returns the process and its address.
    fn start(dir: &Path, arguments: &[&str], log: &str) -> (Process, SocketAddr) {
        let log = std::fs::File::create(dir.join(log)).expect("a log");
        let mut child = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .current_dir(dir)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().expect("it is piped"));
        stdout
            .read_line(&mut line)
            .expect("it says where it listens");
        let listening: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
        let address = listening["address"].as_str().expect("an address");
        (Process(child), address.parse().expect("an address"))
    }

    fn signal(&self, signal: Signal) {
        // It may have ended.
        let _ = kill(Pid::from_raw(self.0.id() as i32), signal);
    }
}

/// Plays a run; returns the verdict and the lines of the host's log.
pub fn play(draw: &Draw) -> (Verdict, Vec<String>) {
    let dir = tempfile::tempdir().expect("a folder");
    let dir = dir.path();
    std::fs::write(dir.join("main.kdl"), document_of(draw)).expect("the document is written");
    let start_node = |place: usize| {
        let name = format!("n{place}");
        let arguments = ["node", "main.kdl", "--name", &name, "--age", "1h"];
        Process::start(dir, &arguments, &format!("{name}.log")).0
    };
    let nodes: Vec<Process> = (1..=draw.nodes).map(start_node).collect();
    let arguments = ["host", "main.kdl", "--name", "h1", "--control", "h1.sock"];
    let (mut host, address) = Process::start(dir, &arguments, "h1.log");
    let shared = Shared::new(draw.clone(), address);
    let mut threads = clients::start(&shared, 0..draw.clients, serve_connection);
    let operators = operators::start(&shared, &dir.join("h1.sock"));
    let signalled = Duration::from_millis(draw.stop_after_ms);
    shared.sleep_until(signalled / 2);
    let hanging = nodes.iter().take(draw.hanging_nodes);
    hanging.for_each(|node| node.signal(Signal::SIGSTOP));
    if let Some(crowd) = draw.crowd {
        let numbers = draw.clients..draw.clients + crowd.clients / 4;
        threads.extend(clients::start(&shared, numbers, serve_connection));
    }
    shared.sleep_until(signalled);
    host.signal(Signal::SIGTERM);
    for signal in &draw.signals {
        shared.sleep_until(signalled + Duration::from_millis(signal.at_ms.max(0) as u64));
        host.signal(signal.signal);
    }
    let latest = signalled + shared.deadline() + EXIT_TIME;
    let stop = wait_for_exit(&shared, &mut host.0, signalled, latest);
    shared.end();
    for thread in threads {
        thread.join().expect("a client ends");
    }
    let (sent, extra) = shared.results();
    let operators = operators.into_iter();
    let reports = operators.map(|operator| operator.join().expect("an operator ends"));
    let reports: Vec<OperatorReport> = reports.collect();
    let log = std::fs::read_to_string(dir.join("h1.log")).unwrap_or_default();
    let lines = log.lines().map(str::to_string).collect();
    let mut verdict = judge(&sent, &extra, &stop);
    for report in reports {
        verdict.sums.commands += report.commands;
        verdict.failures.extend(report.failures);
    }
    (verdict, lines)
}

/// Waits for the host's exit, until `latest` at most. The host must exit by itself, with code 0, once its clients have
/// left.
fn wait_for_exit(
    shared: &Shared,
    child: &mut Child,
    signalled: Duration,
    latest: Duration,
) -> Stop {
    loop {
        if let Some(status) = child.try_wait().expect("the host is a child") {
            let signal = status.signal().unwrap_or_default();
            return Stop {
                signalled,
                exit: Exit::Code(status.code().unwrap_or(128 + signal)),
                ended: shared.now(),
            };
        }
        if shared.now() > latest {
            return Stop {
                signalled,
                exit: Exit::Code(-1),
                ended: shared.now(),
            };
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a free port")
}

fn document_of(draw: &Draw) -> String {
    let mut text = format!(
        "fleet \"f\" lease=\"800ms\" drift=0.01 voters=1 floor=0.3\n\
         works at-once=1 keep=0.1 longest=\"1h\" watched=\"100ms\" blind=\"1s\"\n\
         rules tick=\"{TICK_MS}ms\" most-units=8\nmachine \"m\" cores=4 unit=\"2ms\"\n\
         stream-type \"r\" effect=\"repeatable\" slo=\"{}ms\" expiry=\"{}ms\"\nplan \"p\"\nvolume \"v\" plan=\"p\"\n\
         host \"h1\" address=\"{}\"\n",
        draw.objective_ms.max(5 * TICK_MS),
        draw.deadline_ms.max(5 * TICK_MS),
        free_address(),
    );
    for place in 1..=draw.nodes {
        let address = free_address();
        text += &format!("node \"n{place}\" cell=1 address=\"{address}\" machine=\"m\"\n");
    }
    text
}

/// The state of a client's connection.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    Open,
    /// The host has sent `GoAway`.
    GoingAway,
    Ended,
}

/// Plays one connection of a client until it ends. Some clients ignore `GoAway`.
fn serve_connection(client: &mut Client) {
    let patience = client.shared.deadline() + PATIENCE;
    let Ok(mut link) = frame_client::Client::connect(client.shared.host, patience) else {
        return;
    };
    let is_ignorant = client.number < client.shared.draw.ignorant_clients;
    let mut announced = false;
    while client.think() {
        if look(&link.stream) == Look::End {
            return;
        }
        let mut sent = send_burst(client, &mut link);
        if sent.is_empty() {
            return;
        }
        for request in &mut sent {
            request.announced = announced;
        }
        let connection = read_answers(client, &mut link, &mut sent);
        client.shared.record(sent);
        match connection {
            Connection::Open => {}
            Connection::GoingAway if is_ignorant => announced = true,
            Connection::GoingAway | Connection::Ended => return,
        }
    }
}

/// Sends some requests; returns those that were completely written.
fn send_burst(client: &mut Client, link: &mut frame_client::Client) -> Vec<Sent> {
    let timeout = client.shared.deadline();
    let mut sent = Vec::new();
    for place in 0..client.draw_burst() {
        let id = client.shared.next_id();
        if look(&link.stream) == Look::End || link.submit(id, timeout).is_err() {
            break;
        }
        sent.push(client.sent(id, place, look(&link.stream) == Look::End));
    }
    sent
}

/// Reads until each request has its answer or refusal, in any order.
fn read_answers(client: &Client, link: &mut frame_client::Client, sent: &mut [Sent]) -> Connection {
    let mut connection = Connection::Open;
    while sent.iter().any(|request| request.answer.is_none()) {
        let Some(frame) = link.next() else {
            let now = client.shared.now();
            let open = sent.iter_mut().filter(|request| request.answer.is_none());
            open.for_each(|request| request.ended = Some(now));
            return Connection::Ended;
        };
        let (id, answer) = match frame.message {
            Message::Answer(answer) => (
                answer.id,
                format!("{:?}", Outcome::try_from(answer.outcome)),
            ),
            Message::NotTaken(refused) => (refused.id, refused.reason),
            Message::GoAway(_) => {
                connection = Connection::GoingAway;
                continue;
            }
            _ => continue,
        };
        let now = client.shared.now();
        let open = |request: &&mut Sent| request.id == id && request.answer.is_none();
        match sent.iter_mut().find(open) {
            Some(request) => request.answer = Some((now, answer)),
            None => {
                let what = format!(
                    "client {} got an answer to {id}, which is not open",
                    client.number
                );
                client.shared.record_extra_answer(what);
            }
        }
    }
    connection
}
