//! Samples kernel counters of the hosts into the recording while a scenario runs: how long each host waited for a
//! processor, and how many bytes from it the relays had not processed. With them the audit can distinguish a late host
//! from a busy machine.
//!
//! The samples are taken in a separate thread, since the scenario's thread can be blocked by its steps.

use gullsail_protocol::record::What;
use gullsail_simulator::recording_proxy::Wire;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// The time between two samples: 5 ms. It is short compared with the 20 ms that the audit allows a frame; a shorter
/// interval would take more of the processor time that the hosts need.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Waits are recorded once they add up to at least this: 1 ms.
const MIN_WAIT_US: i64 = 1_000;

/// A host process that is sampled.
struct Sampled {
    process_id: u32,
    /// The total time in microseconds that the process had waited for a processor when a wait was last recorded.
    waited_us: i64,
}

/// The sampled hosts by name.
type Hosts = Arc<Mutex<BTreeMap<String, Sampled>>>;

/// The sampling thread, which ends when this is dropped.
pub(super) struct Sampler {
    hosts: Hosts,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    pub(super) fn start(wire: Arc<Wire>) -> Sampler {
        let hosts = Hosts::default();
        let stop = Arc::new(AtomicBool::new(false));
        let (sampled, stopped) = (hosts.clone(), stop.clone());
        let thread = std::thread::spawn(move || sample_until(&wire, &sampled, &stopped));
        Sampler {
            hosts,
            stop,
            thread: Some(thread),
        }
    }

    /// Samples a host that was started, in place of an earlier process of the same name.
    pub(super) fn host_started(&self, name: &str, process_id: u32) {
        let sampled = Sampled {
            process_id,
            waited_us: waited_us(process_id).unwrap_or_default(),
        };
        lock(&self.hosts).insert(name.into(), sampled);
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The error is ignored: it means that the thread panicked.
            let _ = thread.join();
        }
    }
}

fn lock(hosts: &Hosts) -> MutexGuard<'_, BTreeMap<String, Sampled>> {
    hosts.lock().unwrap_or_else(PoisonError::into_inner)
}

fn sample_until(wire: &Wire, hosts: &Hosts, stopped: &AtomicBool) {
    let mut since = wire.now();
    while !stopped.load(Ordering::Relaxed) {
        std::thread::sleep(SAMPLE_INTERVAL);
        wire.record_unread();
        for (name, host) in lock(hosts).iter_mut() {
            sample_host(wire, since, name, host);
        }
        since = wire.now();
    }
}

/// Records by how much the waits of a host have grown, if that is at least [`MIN_WAIT_US`].
fn sample_host(wire: &Wire, since: i64, name: &str, host: &mut Sampled) {
    // A process that has ended has no counters.
    let Some(now) = waited_us(host.process_id) else {
        return;
    };
    let waited_us = now - host.waited_us;
    if waited_us >= MIN_WAIT_US {
        host.waited_us = now;
        wire.record(name, What::Waited { since, waited_us });
    }
}

/// Returns how long in microseconds the main thread of a process has waited for a processor so far. It is the second
/// figure of the process's `schedstat`, in nanoseconds there. `None`: the process has ended.
fn waited_us(process_id: u32) -> Option<i64> {
    let text = std::fs::read_to_string(format!("/proc/{process_id}/schedstat")).ok()?;
    let waited_ns: i64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(waited_ns / 1_000)
}
