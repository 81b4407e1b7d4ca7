//! The state that all relays of a run share: the clock, the recording and the disturbances in force.

use super::disturbance::{Cut, Disturbance, DisturbanceKind};
use super::received_bytes::ReceivedBytes;
use gullsail_protocol::record::{Entry, ProcessEvent, What};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a silent process keeps a new connection before the connection closes.
const SILENCE: Duration = Duration::from_secs(5);

/// The state that all relays of a run share: the clock, the recording and the disturbances in force.
pub struct Wire {
    started: Instant,
    started_wall_clock: SystemTime,
    inner: Mutex<Inner>,
    cuts: watch::Sender<Cut>,
}

struct Inner {
    disturbances: Vec<Disturbance>,
    recording: Option<Box<dyn Write + Send>>,
    last_link: u64,
    rng: ChaCha8Rng,
    /// The byte counts of the connections between processes and clients, by the process's name and the link.
    to_clients: BTreeMap<String, BTreeMap<u64, ReceivedBytes>>,
}

impl Wire {
    /// Creates the shared state. Entries go to `recording` as JSON, one per line; `None`: nothing is recorded.
    pub fn new(seed: u64, recording: Option<Box<dyn Write + Send>>) -> Arc<Wire> {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let inner = Inner {
            disturbances: Vec::new(),
            recording,
            last_link: 0,
            rng,
            to_clients: BTreeMap::new(),
        };
        Arc::new(Wire {
            started: Instant::now(),
            started_wall_clock: SystemTime::now(),
            inner: Mutex::new(inner),
            cuts: watch::Sender::new(Cut::default()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since the recording began.
    pub fn now(&self) -> i64 {
        self.started.elapsed().as_micros() as i64
    }

    /// Puts a disturbance in force until its end.
    pub fn disturb(&self, disturbance: Disturbance) {
        let mut inner = self.lock();
        inner
            .disturbances
            .retain(|earlier| earlier.until > Instant::now());
        inner.disturbances.push(disturbance);
    }

    /// Breaks all connections between two names now.
    pub fn cut(&self, from: &str, to: &str) {
        // `send_replace` wakes each relay even if the last cut had the same two names.
        self.cuts.send_replace(Cut {
            from: from.into(),
            to: to.into(),
        });
    }

    /// Records an entry of the script about the process `name`, at the current time.
    pub fn record(&self, name: &str, what: What) {
        let at = self.now();
        self.write_script_entry(name, at, what);
    }

    /// Records an entry about the process `name` from its log. `when` is the wall-clock time of the log line.
    pub fn record_at(&self, name: &str, when: SystemTime, what: What) {
        let at = when
            .duration_since(self.started_wall_clock)
            .map_or(0, |since| since.as_micros() as i64);
        self.write_script_entry(name, at, what);
    }

    /// Records an event of a process. `at` is in microseconds since the recording began; 0 stands for a process that
    /// ran before it.
    pub fn record_process_event(&self, name: &str, at: i64, process_event: ProcessEvent) {
        let what = What::Process {
            event: process_event,
        };
        self.write_script_entry(name, at, what);
    }

    fn write_script_entry(&self, name: &str, at: i64, what: What) {
        self.write_entry(Entry::new(at, 0, "script", name, what));
    }

    /// Starts counting the bytes that a process sends on a client's connection.
    pub(super) fn watch_client_link(&self, process: &str, link: u64, received: ReceivedBytes) {
        let mut inner = self.lock();
        let links = inner.to_clients.entry(process.into()).or_default();
        links.insert(link, received);
    }

    /// Stops counting the bytes of a client's connection that has ended.
    pub(super) fn forget_client_link(&self, process: &str, link: u64) {
        if let Some(links) = self.lock().to_clients.get_mut(process) {
            links.remove(&link);
        }
    }

    /// Returns the bytes received from a process on each client's connection, by link.
    pub(super) fn received_for_clients(&self, process: &str) -> BTreeMap<u64, u64> {
        let inner = self.lock();
        let links = inner.to_clients.get(process).into_iter().flatten();
        links
            .map(|(link, received)| (*link, received.count()))
            .collect()
    }

    /// Records the bytes received from processes on clients' connections where the relays have not processed them all.
    pub fn record_unread(&self) {
        for unread in self.unread() {
            self.write_entry(unread);
        }
    }

    fn unread(&self) -> Vec<Entry> {
        let inner = self.lock();
        let mut entries = Vec::new();
        for (process, links) in &inner.to_clients {
            for (link, received) in links {
                if let Some(received) = received.unread() {
                    let what = What::Unread { received };
                    // The time is read after the count, so that all counted bytes had arrived by then.
                    entries.push(Entry::new(self.now(), *link, "script", process, what));
                }
            }
        }
        entries
    }

    pub(super) fn write_entry(&self, entry: Entry) {
        if let Some(recording) = &mut self.lock().recording {
            // Errors are ignored: the audit counts the entries, and so detects an incomplete recording.
            if let Ok(line) = serde_json::to_string(&entry) {
                let _ = writeln!(recording, "{line}");
            }
        }
    }

    /// Flushes the recording.
    ///
    /// # Errors
    /// The recording cannot be written.
    pub fn flush(&self) -> std::io::Result<()> {
        match &mut self.lock().recording {
            Some(recording) => recording.flush(),
            None => Ok(()),
        }
    }

    pub(super) fn disturbances(&self, from: &str, to: &str) -> Vec<DisturbanceKind> {
        let now = Instant::now();
        self.lock()
            .disturbances
            .iter()
            .filter(|disturbance| disturbance.applies(now, from, to))
            .map(|disturbance| disturbance.kind)
            .collect()
    }

    /// Returns whether a new connection to this process is to be closed. If the process is to be silent, returns after
    /// [`SILENCE`]. The initiator has not sent its name yet, so only disturbances from `*` apply here.
    pub(super) async fn rejects_connection(&self, name: &str) -> bool {
        let disturbances = self.disturbances("*", name);
        if disturbances.contains(&DisturbanceKind::Refuse) {
            return true;
        }
        let silent = disturbances.contains(&DisturbanceKind::Silent);
        if silent {
            tokio::time::sleep(SILENCE).await;
        }
        silent
    }

    pub(super) fn next_link(&self) -> u64 {
        let mut inner = self.lock();
        inner.last_link += 1;
        inner.last_link
    }

    pub(super) fn chance(&self, probability: f64) -> bool {
        self.lock().rng.random_bool(probability.clamp(0.0, 1.0))
    }

    /// Subscribes to the cuts that come after this call.
    pub(super) fn later_cuts(&self) -> watch::Receiver<Cut> {
        let mut cuts = self.cuts.subscribe();
        cuts.mark_unchanged();
        cuts
    }
}
