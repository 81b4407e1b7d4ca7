//! The list service: knows which processes run, tells it late to those who watch, and can be out of reach.

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

/// An entry of the list.
struct KnownEndpoint {
    endpoint: ListedEndpoint,
    /// When the process started, as far as is known.
    started: Option<Instant>,
}

/// A change that watchers learn of later.
struct PendingChange {
    publish_at: Instant,
    entries: Vec<ListedEndpoint>,
}

struct List {
    entries: BTreeMap<String, KnownEndpoint>,
    version: u64,
    watchers: BTreeSet<u64>,
    links: BTreeMap<u64, Link>,
    coming: VecDeque<PendingChange>,
    late: Duration,
    down_until: Instant,
}

/// Serves until its task is dropped.
pub async fn serve(entries: Vec<ListedEndpoint>, late: Span, listener: TcpListener) {
    let (sink, mut inbox) = mpsc::channel(1024);
    let mut tasks = JoinSet::new();
    let mut last_link = 0;
    let mut list = List {
        entries: BTreeMap::new(),
        version: 1,
        watchers: BTreeSet::new(),
        links: BTreeMap::new(),
        coming: VecDeque::new(),
        late: Duration::from_micros(late.micros().max(0) as u64),
        down_until: Instant::now(),
    };
    list.learn(entries);
    loop {
        let now = Instant::now();
        while let Some(change) = list.coming.pop_front_if(|change| change.publish_at <= now) {
            list.publish(change.entries);
        }
        let next_wakeup = list
            .coming
            .front()
            .map_or(now + Duration::from_secs(3600), |change| change.publish_at);
        tokio::select! {
            came = listener.accept() => if let Ok((stream, _)) = came {
                last_link += 1;
                let link = Link::open(stream, last_link, Bounds::DEFAULT, 1024, &sink, &mut tasks);
                let hello = Hello { role: Role::List as i32, name: "list".into(), ..Hello::default() };
                // Dropped: a closed link is forgotten by its own event.
                let _ = link.send(Frame::from(hello));
                list.links.insert(last_link, link);
            },
            Some((link, happened)) = inbox.recv() => match happened {
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
    fn learn(&mut self, entries: Vec<ListedEndpoint>) {
        let now = Instant::now();
        for endpoint in entries {
            let age = Duration::from_micros(endpoint.age_us.max(0) as u64);
            let started = if endpoint.incarnation == 0 {
                None
            } else {
                now.checked_sub(age)
            };
            let known = KnownEndpoint { endpoint, started };
            self.entries.insert(known.endpoint.name.clone(), known);
        }
    }

    fn entry(&self, name: &str) -> Option<ListedEndpoint> {
        let KnownEndpoint { endpoint, started } = self.entries.get(name)?;
        let age_us = started.map_or(0, |at| at.elapsed().as_micros() as i64);
        Some(ListedEndpoint {
            age_us,
            ..endpoint.clone()
        })
    }

    fn publish(&mut self, entries: Vec<ListedEndpoint>) {
        let names: Vec<_> = entries.iter().map(|entry| entry.name.clone()).collect();
        self.learn(entries);
        self.version += 1;
        let entries = names.iter().filter_map(|name| self.entry(name)).collect();
        let news = Frame::from(EndpointListUpdate {
            version: self.version,
            whole: false,
            entries,
        });
        for watcher in &self.watchers {
            self.send(*watcher, news.clone());
        }
    }

    fn send(&self, link: u64, frame: Frame) {
        if let Some(link) = self.links.get(&link) {
            // Dropped: a closed link is forgotten by its own event.
            let _ = link.send(frame);
        }
    }

    /// Answers a query with all entries that are not gone.
    fn send_whole_list(&mut self, link: u64, watch: bool) {
        let gone = ListedState::Gone as i32;
        let listed = self
            .entries
            .iter()
            .filter(|(_, known)| known.endpoint.state != gone);
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
            Message::EndpointListQuery(query) => self.send_whole_list(link, query.watch),
            Message::Order(order) if order.kind == "refuse" => {
                self.down_until =
                    Instant::now() + Duration::from_micros(order.duration_us.max(0) as u64);
                // Whoever watches loses the watch, as when the service itself is gone.
                for watcher in std::mem::take(&mut self.watchers) {
                    self.links.remove(&watcher);
                }
            }
            Message::Order(order) => self.coming.push_back(PendingChange {
                publish_at: Instant::now() + self.late,
                entries: order.entries,
            }),
            _ => {}
        }
    }
}
