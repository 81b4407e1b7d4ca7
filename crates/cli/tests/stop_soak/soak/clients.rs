//! The state that all clients of a run share, and the clients' threads.

use super::draw::Draw;
use super::verdict::Sent;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits before it reconnects.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// A client in a pause checks this often whether the run is over.
const PAUSE_STEP: Duration = Duration::from_millis(20);

/// State that the clients of a run share.
pub struct Shared {
    pub draw: Draw,
    pub host: SocketAddr,
    start: Instant,
    over: AtomicBool,
    last_id: AtomicU64,
    sent: Mutex<Vec<Sent>>,
    extra_answers: Mutex<Vec<String>>,
}

impl Shared {
    pub fn new(draw: Draw, host: SocketAddr) -> Arc<Shared> {
        Arc::new(Shared {
            draw,
            host,
            start: Instant::now(),
            over: AtomicBool::new(false),
            last_id: AtomicU64::new(0),
            sent: Mutex::default(),
            extra_answers: Mutex::default(),
        })
    }

    /// The time since the load began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    /// Ends the run: the clients stop.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.draw.deadline_ms)
    }

    pub fn record(&self, sent: Vec<Sent>) {
        let mut all = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend(sent);
    }

    pub fn record_extra_answer(&self, what: String) {
        let mut all = self
            .extra_answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        all.push(what);
    }

    /// All recorded requests, and descriptions of answers that belong to no open request.
    pub fn results(&self) -> (Vec<Sent>, Vec<String>) {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let extra = self
            .extra_answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        (sent.clone(), extra.clone())
    }
}

/// A client that reconnects until the run is over.
pub struct Client {
    pub shared: Arc<Shared>,
    pub number: usize,
    pub rng: ChaCha8Rng,
    pub connection: u32,
}

impl Client {
    fn new(shared: Arc<Shared>, number: usize) -> Client {
        let seed = shared.draw.seed.wrapping_mul(1000) + number as u64;
        Client {
            shared,
            number,
            rng: ChaCha8Rng::seed_from_u64(seed),
            connection: 0,
        }
    }

    /// Pauses for a random time. Returns whether the run is still going on.
    pub fn think(&mut self) -> bool {
        let longest = self.shared.draw.longest_think_ms;
        let mut left = Duration::from_millis(self.rng.random_range(0..=longest));
        while !left.is_zero() && !self.shared.is_over() {
            let step = left.min(PAUSE_STEP);
            std::thread::sleep(step);
            left -= step;
        }
        !self.shared.is_over()
    }

    /// Draws how many requests the client sends at once.
    pub fn draw_burst(&mut self) -> usize {
        self.rng.random_range(1..=self.shared.draw.most_at_once)
    }

    /// The record of a request that was just written.
    pub fn sent(&self, id: u64, place: usize, crossed: bool) -> Sent {
        Sent {
            id,
            client: self.number,
            connection: self.connection,
            place,
            at: self.shared.now(),
            deadline: self.shared.deadline(),
            crossed,
            announced: false,
            answer: None,
            ended: None,
            unanswered_in_order: false,
        }
    }
}

/// Starts clients with these numbers, each in a thread. `serve` plays one connection of a client; it is called until
/// the run is over.
pub fn start(
    shared: &Arc<Shared>,
    numbers: std::ops::Range<usize>,
    serve: fn(&mut Client),
) -> Vec<JoinHandle<()>> {
    let start_one = |number| {
        let mut client = Client::new(shared.clone(), number);
        std::thread::spawn(move || {
            while !client.shared.is_over() {
                client.connection += 1;
                serve(&mut client);
                std::thread::sleep(RECONNECT_PAUSE);
            }
        })
    };
    numbers.map(start_one).collect()
}
