//! The simulated endpoint list service. It publishes changes of the list to its watchers after a delay, and can be made
//! to refuse queries for a time.

use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{
    Bounds, EndpointListRefused, EndpointListUpdate, Frame, Hello, ListedEndpoint, ListedState,
    Message, Role,
};
use gullsail_scheduler_api::Span;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// An entry of the endpoint list.
struct ListEntry {
    endpoint: ListedEndpoint,
    /// When the process started; `None`: no process has run for this entry, or its start is too long ago for the clock.
    started: Option<Instant>,
}

/// A change of the list that is published later.
struct PendingChange {
    publish_at: Instant,
    entries: Vec<ListedEndpoint>,
}

struct List {
    entries: BTreeMap<String, ListEntry>,
    version: u64,
    watchers: BTreeSet<u64>,
    links: BTreeMap<u64, Link>,
    pending_changes: VecDeque<PendingChange>,
    publish_delay: Duration,
    down_until: Instant,
}

/// Serves the list with these entries until its task is dropped. Changes are published `publish_delay` after they
/// arrive.
pub async fn serve(entries: Vec<ListedEndpoint>, publish_delay: Span, listener: TcpListener) {
    let (sink, mut inbox) = mpsc::channel(1024);
    let mut tasks = JoinSet::new();
    let mut last_link = 0;
    let mut list = List {
        entries: BTreeMap::new(),
        version: 1,
        watchers: BTreeSet::new(),
        links: BTreeMap::new(),
        pending_changes: VecDeque::new(),
        publish_delay: Duration::from_micros(publish_delay.micros().max(0) as u64),
        down_until: Instant::now(),
    };
    list.update_entries(entries);
    loop {
        let now = Instant::now();
        while let Some(change) = list
            .pending_changes
            .pop_front_if(|change| change.publish_at <= now)
        {
            list.publish(change.entries);
        }
        let next_wakeup = list
            .pending_changes
            .front()
            .map_or(now + Duration::from_secs(3600), |change| change.publish_at);
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                last_link += 1;
                let link = Link::open(stream, last_link, Bounds::DEFAULT, 1024, &sink, &mut tasks);
                let hello = Hello { role: Role::List as i32, name: "list".into(), ..Hello::default() };
                // The error is ignored: the link's `Closed` event removes the link.
                let _ = link.send(Frame::from(hello));
                list.links.insert(last_link, link);
            },
            Some((link, event)) = inbox.recv() => match event {
                LinkEvent::Frame(frame) => list.handle_frame(link, frame),
                LinkEvent::Closed(_) => {
                    list.links.remove(&link);
                    list.watchers.remove(&link);
                }
                LinkEvent::Written(_) => {}
            },
            () = tokio::time::sleep_until(next_wakeup) => {}
            _ = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

impl List {
    /// Adds the entries, or replaces those of the same names.
    fn update_entries(&mut self, entries: Vec<ListedEndpoint>) {
        let now = Instant::now();
        for endpoint in entries {
            let age = Duration::from_micros(endpoint.age_us.max(0) as u64);
            let started = if endpoint.incarnation == 0 {
                None
            } else {
                now.checked_sub(age)
            };
            let entry = ListEntry { endpoint, started };
            self.entries.insert(entry.endpoint.name.clone(), entry);
        }
    }

    /// Returns the entry with the age that its process has now.
    fn entry(&self, name: &str) -> Option<ListedEndpoint> {
        let ListEntry { endpoint, started } = self.entries.get(name)?;
        let age_us = started.map_or(0, |at| at.elapsed().as_micros() as i64);
        Some(ListedEndpoint {
            age_us,
            ..endpoint.clone()
        })
    }

    /// Applies a change and sends the changed entries to all watchers.
    fn publish(&mut self, entries: Vec<ListedEndpoint>) {
        let names: Vec<_> = entries.iter().map(|entry| entry.name.clone()).collect();
        self.update_entries(entries);
        self.version += 1;
        let entries = names.iter().filter_map(|name| self.entry(name)).collect();
        let update = Frame::from(EndpointListUpdate {
            version: self.version,
            whole: false,
            entries,
        });
        for watcher in &self.watchers {
            self.send(*watcher, update.clone());
        }
    }

    fn send(&self, link: u64, frame: Frame) {
        if let Some(link) = self.links.get(&link) {
            // The error is ignored: the link's `Closed` event removes the link.
            let _ = link.send(frame);
        }
    }

    /// Answers a query with all entries whose state is not `Gone`; with `watch`, the peer gets later changes too.
    fn send_full_list(&mut self, link: u64, watch: bool) {
        let gone = ListedState::Gone as i32;
        let listed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.endpoint.state != gone);
        let entries = listed.filter_map(|(name, _)| self.entry(name)).collect();
        if watch {
            self.watchers.insert(link);
        }
        let update = EndpointListUpdate {
            version: self.version,
            whole: true,
            entries,
        };
        self.send(link, Frame::from(update));
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) {
        let down = Instant::now() < self.down_until;
        match frame.message {
            Message::EndpointListQuery(_) if down => {
                let refused = EndpointListRefused {
                    reason: "out of reach".into(),
                };
                self.send(link, Frame::from(refused));
            }
            Message::EndpointListQuery(query) => self.send_full_list(link, query.watch),
            Message::Order(order) if order.kind == "refuse" => {
                self.down_until =
                    Instant::now() + Duration::from_micros(order.duration_us.max(0) as u64);
                // The connections of all watchers close, as they do when a real list service fails.
                for watcher in std::mem::take(&mut self.watchers) {
                    self.links.remove(&watcher);
                }
            }
            Message::Order(order) => self.pending_changes.push_back(PendingChange {
                publish_at: Instant::now() + self.publish_delay,
                entries: order.entries,
            }),
            _ => {}
        }
    }
}
