//! The parameters of a run, drawn from its seed: times, clients, nodes, signals, and which peer falls silent.

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The longest deadline that the platform takes into account when it schedules SIGKILL, in ms.
const LONGEST_COUNTED_DEADLINE_MS: u64 = 3000;
/// The time that the platform adds to that deadline, in ms.
const EXTRA_GRACE_MS: u64 = 700;

/// A signal and its time.
#[derive(Clone, Copy, Debug)]
pub struct TimedSignal {
    /// When the signal is sent, in ms after the first SIGTERM; negative: before it.
    pub at_ms: i64,
    pub signal: Signal,
}

/// Clients that all connect at about the same time.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// When the clients connect, in ms after the first SIGTERM; negative: before it.
    pub at_ms: i64,
    pub clients: usize,
}

/// The peer of the host that stops answering.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lost {
    Nothing,
    Node,
    Discovery,
}

/// The parameters of one run of the soak.
#[derive(Clone, Debug)]
pub struct Draw {
    pub seed: u64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub clients: usize,
    pub longest_think_ms: u64,
    /// The maximum number of requests that a client sends at once.
    pub most_at_once: usize,
    /// The number of clients that read slowly through a small window.
    pub slow_readers: usize,
    /// The number of clients of `gullsail host` that ignore `GoAway` and send until the connection ends.
    pub ignorant_clients: usize,
    pub request_bytes: usize,
    pub response_bytes: usize,
    pub nodes: usize,
    pub hanging_nodes: usize,
    pub node_delay_ms: u64,
    /// The time in ms from the start of the load to the first SIGTERM.
    pub stop_after_ms: u64,
    /// The signals that the host gets besides the first SIGTERM.
    pub signals: Vec<TimedSignal>,
    pub crowd: Option<Crowd>,
    pub lost: Lost,
    /// When the peer falls silent, in ms after the first SIGTERM; negative: before it.
    pub lost_at_ms: i64,
    /// The number of operators that give commands over the control socket of `gullsail host`.
    pub operators: usize,
}

impl Draw {
    pub fn new(seed: u64) -> Draw {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let deadline_ms = rng.random_range(400..=4000);
        let nodes = rng.random_range(1..=4);
        let crowded = rng.random_bool(0.4);
        Draw {
            seed,
            objective_ms: rng.random_range(200..=deadline_ms),
            deadline_ms,
            clients: rng.random_range(5..=30),
            longest_think_ms: *[5, 50, 300].choose(&mut rng).unwrap_or(&50),
            most_at_once: *[1, 1, 2, 4].choose(&mut rng).unwrap_or(&1),
            slow_readers: rng.random_range(0..=2),
            ignorant_clients: rng.random_range(0..=2),
            request_bytes: *[0, 200, 6000].choose(&mut rng).unwrap_or(&0),
            response_bytes: *[10, 2000, 60_000].choose(&mut rng).unwrap_or(&10),
            nodes,
            hanging_nodes: rng.random_range(0..=nodes),
            node_delay_ms: rng.random_range(0..=40),
            stop_after_ms: rng.random_range(200..=900),
            signals: draw_signals(&mut rng),
            crowd: crowded.then(|| Crowd {
                at_ms: rng.random_range(-300..=600),
                clients: rng.random_range(100..=300),
            }),
            lost: *[Lost::Nothing, Lost::Nothing, Lost::Node, Lost::Discovery]
                .choose(&mut rng)
                .unwrap_or(&Lost::Nothing),
            lost_at_ms: rng.random_range(-500..=500),
            operators: rng.random_range(0..=12),
        }
    }

    /// The shortest time from the first SIGTERM to the platform's SIGKILL, in ms.
    pub fn grace_ms(&self) -> u64 {
        self.deadline_ms.min(LONGEST_COUNTED_DEADLINE_MS) + EXTRA_GRACE_MS
    }
}

/// Draws SIGHUPs around the first SIGTERM, and further SIGTERMs after it.
fn draw_signals(rng: &mut ChaCha8Rng) -> Vec<TimedSignal> {
    let mut signals = Vec::new();
    for _ in 0..rng.random_range(0..=4) {
        signals.push(TimedSignal {
            at_ms: rng.random_range(-300..=1200),
            signal: Signal::SIGHUP,
        });
    }
    if rng.random_bool(0.3) {
        for _ in 0..rng.random_range(1..=2) {
            signals.push(TimedSignal {
                at_ms: rng.random_range(1..=1500),
                signal: Signal::SIGTERM,
            });
        }
    }
    signals.sort_by_key(|signal| signal.at_ms);
    signals
}
