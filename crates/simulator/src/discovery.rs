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

/// An entry, when its node started (as far as known), and when the list may tell of it.
type Known = (ListedEndpoint, Option<Instant>);

struct List {
    entries: BTreeMap<String, Known>,
    version: u64,
    watchers: BTreeSet<u64>,
    links: BTreeMap<u64, Link>,
    coming: VecDeque<(Instant, Vec<ListedEndpoint>)>,
    late: Duration,
    down_until: Instant,
}

/// Serves until its task is dropped.
pub async fn serve(entries: Vec<ListedEndpoint>, late: Span, listener: TcpListener) {
    let (sink, mut inbox) = mpsc::channel(1024);
    let (mut tasks, mut last_link) = (JoinSet::new(), 0);
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
        while let Some((_, entries)) = list.coming.pop_front_if(|c| c.0 <= now) {
            list.publish(entries);
        }
        let next_wakeup = list
            .coming
            .front()
            .map_or(now + Duration::from_secs(3600), |c| c.0);
        tokio::select! {
            came = listener.accept() => if let Ok((stream, _)) = came {
                last_link += 1;
                let link = Link::open(stream, last_link, Bounds::DEFAULT, 1024, &sink, &mut tasks);
                let hello = Hello { role: Role::List as i32, name: "list".into(), ..Hello::default() };
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
        for e in entries {
            let age = Duration::from_micros(e.age_us.max(0) as u64);
            let started = if e.incarnation == 0 {
                None
            } else {
                now.checked_sub(age)
            };
            self.entries.insert(e.name.clone(), (e, started));
        }
    }

    fn entry(&self, name: &str) -> Option<ListedEndpoint> {
        let (e, started) = self.entries.get(name)?;
        let age_us = started.map_or(0, |s| s.elapsed().as_micros() as i64);
        Some(ListedEndpoint {
            age_us,
            ..e.clone()
        })
    }

    fn publish(&mut self, entries: Vec<ListedEndpoint>) {
        let names: Vec<_> = entries.iter().map(|e| e.name.clone()).collect();
        self.learn(entries);
        self.version += 1;
        let entries = names.iter().filter_map(|n| self.entry(n)).collect();
        let news = Frame::from(EndpointListUpdate {
            version: self.version,
            whole: false,
            entries,
        });
        for link in self.watchers.iter().filter_map(|w| self.links.get(w)) {
            let _ = link.send(news.clone());
        }
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) {
        let down = Instant::now() < self.down_until;
        match frame.message {
            Message::EndpointListQuery(_) if down => {
                let refused = EndpointListRefused {
                    reason: "out of reach".into(),
                };
                if let Some(l) = self.links.get(&link) {
                    let _ = l.send(Frame::from(refused));
                }
            }
            Message::EndpointListQuery(ask) => {
                let gone = ListedState::Gone as i32;
                let names = self
                    .entries
                    .values()
                    .filter(|e| e.0.state != gone)
                    .map(|e| e.0.name.clone());
                let entries = names
                    .collect::<Vec<_>>()
                    .iter()
                    .filter_map(|n| self.entry(n))
                    .collect();
                if ask.watch {
                    self.watchers.insert(link);
                }
                if let Some(l) = self.links.get(&link) {
                    let _ = l.send(Frame::from(EndpointListUpdate {
                        version: self.version,
                        whole: true,
                        entries,
                    }));
                }
            }
            Message::Order(o) if o.what == "refuse" => {
                self.down_until = Instant::now() + Duration::from_micros(o.lasts_us.max(0) as u64);
                // Whoever watches loses the watch, as when the service itself is gone.
                for w in std::mem::take(&mut self.watchers) {
                    self.links.remove(&w);
                }
            }
            Message::Order(o) => self
                .coming
                .push_back((Instant::now() + self.late, o.entries)),
            _ => {}
        }
    }
}
