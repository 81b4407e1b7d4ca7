//! Operators of a run: they give commands over the control socket until the run is over. Each command that the host has
//! read gets one complete reply.

use super::clients::Shared;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// How long an operator waits for a reply: longer than the host waits for the result of a command.
const PATIENCE: Duration = Duration::from_secs(30);
/// The longest pause between two commands of one operator, in ms.
const LONGEST_PAUSE_MS: u64 = 60;
/// The requests of operators. `N` stands for the name of a node.
const REQUESTS: [&str; 6] = [
    "{\"ask\":\"status\"}\n",
    "{\"ask\":\"reload\"}\n",
    "{\"ask\":\"word\",\"kind\":\"out\",\"names\":[\"N\"],\"cell_away\":true}\n",
    "{\"ask\":\"word\",\"kind\":\"cancel\",\"names\":[\"N\"]}\n",
    "{\"ask\":\"word\",\"kind\":\"back\",\"names\":[\"N\"]}\n",
    "{\"ask\":\"word\",\"kind\":\"out\",\"names\":[\"nobody\"]}\n",
];

/// The results of one operator.
#[derive(Debug, Default)]
pub struct OperatorReport {
    /// Commands that got a complete reply.
    pub commands: usize,
    pub failures: Vec<String>,
}

/// The result of a command.
enum Reply {
    /// The host refused the connection, or ended before it read the command.
    NotRead,
    Complete,
    /// The command was read, but its reply is incomplete or missing.
    Broken(String),
}

pub fn start(shared: &Arc<Shared>, socket: &Path) -> Vec<JoinHandle<OperatorReport>> {
    let one = |number: usize| {
        let (shared, socket) = (shared.clone(), socket.to_path_buf());
        std::thread::spawn(move || operate(&shared, &socket, number))
    };
    (0..shared.draw.operators).map(one).collect()
}

fn operate(shared: &Shared, socket: &Path, number: usize) -> OperatorReport {
    let seed = shared.draw.seed.wrapping_mul(2000) + number as u64;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut report = OperatorReport::default();
    while !shared.is_over() {
        let pause = rng.random_range(0..=LONGEST_PAUSE_MS);
        std::thread::sleep(Duration::from_millis(pause));
        let node = format!("n{}", rng.random_range(1..=shared.draw.nodes));
        let request = REQUESTS.choose(&mut rng).unwrap_or(&REQUESTS[0]);
        let request = request.replace('N', &node);
        let at = shared.now();
        match give_command(socket, &request) {
            Reply::NotRead => {}
            Reply::Complete => report.commands += 1,
            Reply::Broken(problem) => {
                let request = request.trim_end();
                let failure =
                    format!("operator {number}, {request} {at:?} after the start: {problem}");
                report.failures.push(failure);
            }
        }
    }
    report
}

/// Gives one command. If the host ends before it has read the command, the connection is reset; if the host has read
/// the command and does not reply, the connection ends in order.
fn give_command(socket: &Path, request: &str) -> Reply {
    let Ok(mut stream) = UnixStream::connect(socket) else {
        return Reply::NotRead;
    };
    let written = stream
        .set_read_timeout(Some(PATIENCE))
        .and_then(|()| stream.write_all(request.as_bytes()));
    if written.is_err() {
        return Reply::NotRead;
    }
    let mut text = String::new();
    match stream.read_to_string(&mut text) {
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Reply::NotRead,
        Err(error) => Reply::Broken(format!("{error} after {text:?}")),
        Ok(_) => match serde_json::from_str::<serde_json::Value>(&text) {
            Ok(reply) if reply["told"].is_string() && text.ends_with('\n') => Reply::Complete,
            _ => Reply::Broken(format!("no whole reply: {text:?}")),
        },
    }
}
