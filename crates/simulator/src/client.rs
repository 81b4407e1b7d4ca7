//! Simulated clients with an open-loop load: requests arrive at a set rate, whether or not earlier ones are answered.
//! One task sends to all hosts, retries as the idempotency of the request class allows, and checks the bytes of reads.

mod answers;
mod arrivals;
mod attempts;
mod connector;
mod objects;
mod state;

pub use crate::load::{Change, Load, Tallies, Tally};
use connector::Connector;
use gullsail_configuration::Deployment;
use gullsail_connections::LinkEvent;
use state::Clients;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The most link events that are queued for the client task.
const LINK_EVENT_QUEUE: usize = 4096;
/// The longest sleep of the client task, and so the most by which retries and timeouts are late.
const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// Sends the load until `until`, waits for the open requests and returns the tallies. `addresses` holds the addresses
/// of the hosts in the document's order, then those of hosts that only a later document names.
pub async fn run(
    deployment: Arc<Deployment>,
    load: Load,
    addresses: Vec<String>,
    mut changes: mpsc::Receiver<Change>,
    until: Instant,
) -> Tallies {
    let (events, mut inbox) = mpsc::channel(LINK_EVENT_QUEUE);
    let mut clients = Clients::new(deployment, load, addresses.len());
    let mut connector = Connector::new(addresses, events);
    let mut arrivals = clients.first_arrivals();
    loop {
        let now = Instant::now();
        if now < until {
            clients.begin_due(&mut arrivals, now);
        }
        clients.expire(now);
        clients.close_finished_links();
        if now >= until && clients.is_idle() {
            return clients.tallies;
        }
        let next_arrival = arrivals.iter().copied().min().filter(|_| now < until);
        let longest = now + LONGEST_SLEEP;
        let next_wakeup = next_arrival.unwrap_or(longest).min(longest);
        tokio::select! {
            Some((id, event)) = inbox.recv() => match event {
                LinkEvent::Frame(frame) => clients.handle_frame(id, frame),
                LinkEvent::Closed(_) => if let Some(host) = clients.disconnected(id) {
                    connector.reconnect(host);
                },
                LinkEvent::Written(_) => {}
            },
            Some(Ok(outcome)) = connector.connecting.join_next(), if !connector.connecting.is_empty() => {
                if let Some(opened) = connector.open(outcome) {
                    clients.connected(opened);
                }
            },
            Some(change) = changes.recv() => clients.change(change),
            () = tokio::time::sleep_until(next_wakeup) => {}
            _ = connector.link_tasks.join_next(), if !connector.link_tasks.is_empty() => {}
        }
    }
}
