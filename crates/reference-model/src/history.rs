//! The history of events and actions, and its views by host and incarnation, by request and by node.

use crate::{Breach, Model};
use gullsail_scheduler_api::{
    Action, AttemptOutcome, Endpoint, Event, HostId, Instant, NodeId, Request, RequestId,
    SchedulerConfig, UpdateKind,
};

#[derive(Clone, Debug)]
pub(crate) enum Observation {
    HostStarted(SchedulerConfig),
    HostKilled,
    Saw(Event),
    Did(Action),
}

#[derive(Clone, Debug)]
pub(crate) struct HistoryEntry {
    pub(crate) at: Instant,
    pub(crate) host: HostId,
    /// The number of the step. Steps are counted over all hosts.
    pub(crate) step: u64,
    pub(crate) what: Observation,
}

/// How an attempt ended, and when the host saw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnding {
    pub(crate) at: Instant,
    pub(crate) outcome: AttemptOutcome,
}

/// An attempt of a request; `ended` is `None` while it is in flight.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) at: Instant,
    pub(crate) node: NodeId,
    pub(crate) ended: Option<AttemptEnding>,
}

/// When and how a request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnding {
    pub(crate) at: Instant,
    pub(crate) step: u64,
    /// Whether the host ended it by rejecting or failing it. Otherwise a node's response or the client ended it.
    pub(crate) by_host: bool,
}

/// One request of one incarnation of a host, read from the history.
#[derive(Clone, Debug)]
pub(crate) struct RequestHistory {
    pub(crate) arrived: Instant,
    pub(crate) request: Request,
    pub(crate) attempts: Vec<AttemptRecord>,
    pub(crate) ended: Option<RequestEnding>,
}

impl RequestHistory {
    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.request.timeout
    }

    /// The first attempt that may have run: it is in flight, or its end does not say that it never ran.
    pub(crate) fn may_have_run(&self) -> Option<&AttemptRecord> {
        self.attempts
            .iter()
            .find(|attempt| attempt.ended.is_none_or(|end| !end.outcome.never_ran()))
    }

    fn observe(&mut self, entry: &HistoryEntry) {
        let id = self.request.id;
        let ended = |by_host| RequestEnding {
            at: entry.at,
            step: entry.step,
            by_host,
        };
        match &entry.what {
            Observation::Did(Action::StartAttempt { id: of, node, .. }) if *of == id => {
                self.attempts.push(AttemptRecord {
                    at: entry.at,
                    node: *node,
                    ended: None,
                });
            }
            Observation::Saw(Event::AttemptEnded(end)) if end.id == id => {
                if let Some(attempt) = self.attempts.get_mut(end.attempt as usize) {
                    attempt.ended.get_or_insert(AttemptEnding {
                        at: entry.at,
                        outcome: end.outcome,
                    });
                }
                if end.finished {
                    self.ended.get_or_insert(ended(false));
                }
            }
            // A request ends with the first bytes of its response, which the host streams to the client.
            Observation::Saw(
                Event::ClientDisconnected(of) | Event::ResponseStarted { id: of, .. },
            ) if *of == id => {
                self.ended.get_or_insert(ended(false));
            }
            Observation::Did(Action::Reject { id: of, .. } | Action::Fail { id: of })
                if *of == id =>
            {
                self.ended.get_or_insert(ended(true));
            }
            _ => {}
        }
    }
}

/// An endpoint list as a host saw it.
pub(crate) struct SeenList<'a> {
    pub(crate) at: Instant,
    pub(crate) whole: bool,
    pub(crate) entries: &'a [Endpoint],
}

/// A request as a host accepted it.
pub(crate) struct Accepted<'a> {
    pub(crate) at: Instant,
    pub(crate) request: &'a Request,
}

impl Model {
    /// The entries of a host since its last start; none while the host is down.
    pub(crate) fn incarnation(&self, host: HostId) -> impl Iterator<Item = &HistoryEntry> {
        let bound = |entry: &HistoryEntry| {
            entry.host == host
                && matches!(
                    entry.what,
                    Observation::HostStarted(_) | Observation::HostKilled
                )
        };
        let start = self
            .history
            .iter()
            .rposition(bound)
            .unwrap_or(self.history.len());
        let up = self
            .history
            .get(start)
            .is_some_and(|entry| matches!(entry.what, Observation::HostStarted(_)));
        self.history[start..]
            .iter()
            .filter(move |entry| up && entry.host == host)
    }

    pub(crate) fn config(&self, host: HostId) -> Option<&SchedulerConfig> {
        self.incarnation(host).find_map(|entry| match &entry.what {
            Observation::HostStarted(config) => Some(config),
            _ => None,
        })
    }

    /// The running hosts, in the order of their last starts.
    pub(crate) fn hosts_up(&self) -> Vec<HostId> {
        let mut up = Vec::new();
        for entry in &self.history {
            match entry.what {
                Observation::HostStarted(_) => {
                    up.retain(|host| *host != entry.host);
                    up.push(entry.host);
                }
                Observation::HostKilled => up.retain(|host| *host != entry.host),
                _ => {}
            }
        }
        up
    }

    pub(crate) fn request_history(&self, host: HostId, id: RequestId) -> Option<RequestHistory> {
        let mut history: Option<RequestHistory> = None;
        for entry in self.incarnation(host) {
            match &entry.what {
                Observation::Saw(Event::RequestArrived(request)) if request.id == id => {
                    let (arrived, request) = (entry.at, request.clone());
                    history = Some(RequestHistory {
                        arrived,
                        request,
                        attempts: Vec::new(),
                        ended: None,
                    });
                }
                _ => {
                    if let Some(history) = &mut history {
                        history.observe(entry);
                    }
                }
            }
        }
        history
    }

    /// The requests that a host accepted since its last start, in order.
    pub(crate) fn accepted(&self, host: HostId) -> impl Iterator<Item = Accepted<'_>> {
        self.incarnation(host)
            .filter_map(|entry| match &entry.what {
                Observation::Saw(Event::RequestArrived(request)) => Some(Accepted {
                    at: entry.at,
                    request,
                }),
                _ => None,
            })
    }

    pub(crate) fn lists(&self, host: HostId) -> impl Iterator<Item = SeenList<'_>> {
        self.incarnation(host)
            .filter_map(|entry| match &entry.what {
                Observation::Saw(Event::EndpointList {
                    update_kind,
                    entries,
                }) => {
                    let whole = matches!(
                        update_kind,
                        UpdateKind::Snapshot | UpdateKind::StaleSnapshot
                    );
                    Some(SeenList {
                        at: entry.at,
                        whole,
                        entries,
                    })
                }
                _ => None,
            })
    }

    /// The entries for a node in the endpoint lists that a host saw, the last entry of each list.
    pub(crate) fn listings(&self, host: HostId, node: NodeId) -> impl Iterator<Item = &Endpoint> {
        self.lists(host)
            .filter_map(move |list| list.entries.iter().rfind(|entry| entry.node == node))
    }

    /// The last lines, as text, of those entries of a host that `about` selects.
    pub(crate) fn history_lines(
        &self,
        host: HostId,
        about: impl Fn(&Observation) -> bool,
    ) -> Vec<String> {
        let entries = self.incarnation(host).filter(|entry| about(&entry.what));
        let line = |entry: &HistoryEntry| {
            let at = entry.at.millis();
            format!("{at:.3} ms, step {}: {:?}", entry.step, entry.what)
        };
        let mut lines: Vec<String> = entries
            .map(line)
            .map(|line| line.chars().take(240).collect())
            .collect();
        if lines.len() > 12 {
            lines.drain(..lines.len() - 12);
        }
        lines
    }

    pub(crate) fn breach(
        &self,
        rule: u8,
        at: Instant,
        host: HostId,
        id: RequestId,
        what: impl Into<String>,
    ) -> Breach {
        let about = |what: &Observation| match what {
            Observation::Saw(Event::RequestArrived(request)) => request.id == id,
            Observation::Saw(Event::AttemptEnded(end)) => end.id == id,
            Observation::Saw(Event::ClientDisconnected(of)) => *of == id,
            Observation::Did(
                Action::StartAttempt { id: of, .. }
                | Action::Reject { id: of, .. }
                | Action::Fail { id: of },
            ) => *of == id,
            _ => false,
        };
        let evidence = self.history_lines(host, about);
        Breach {
            rule,
            what: what.into(),
            host,
            request: Some(id),
            at,
            evidence,
        }
    }
}
