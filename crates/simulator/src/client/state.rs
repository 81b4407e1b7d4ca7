//! The state of the clients: links, open attempts, changes in force and tallies.

use super::connector::OpenedLink;
use crate::load::{Change, Load, Tallies, Tally};
use bytes::Bytes;
use gullsail_configuration::Deployment;
use gullsail_connections::Link;
use gullsail_protocol::{Frame, Handle, Hello, Role, Submit};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tokio::time::Instant;

/// One attempt of a request, with what is needed to check and count its answer.
pub(super) struct Attempt {
    pub(super) submit: Submit,
    pub(super) body: Bytes,
    pub(super) request_class: usize,
    pub(super) plan: usize,
    pub(super) host: usize,
    pub(super) began: Instant,
    pub(super) objective_deadline: Instant,
    pub(super) deadline: Instant,
}

impl Attempt {
    pub(super) fn key(&self) -> AttemptKey {
        AttemptKey {
            host: self.host,
            id: self.submit.id,
        }
    }
}

/// Identifies an attempt. Keys are ordered by host first, so that the attempts at one host form a range.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) host: usize,
    pub(super) id: u64,
}

/// An attempt that is sent at a later time.
pub(super) struct DelayedAttempt {
    pub(super) at: Instant,
    pub(super) attempt: Attempt,
}

/// An open link with the host at its other end.
pub(super) struct HostLink {
    pub(super) host: usize,
    pub(super) link: Link,
    /// The host has sent `GoAway`: no new requests are sent on this link.
    pub(super) going_away: bool,
}

/// An object that a volume wrote recently, with the seed of its bytes.
pub(super) struct WrittenObject {
    pub(super) handle: Handle,
    pub(super) seed: u64,
}

/// The open links by id, and the id of each host's usable link by the host's place in the document.
pub(super) struct HostLinks {
    pub(super) by_id: BTreeMap<u64, HostLink>,
    pub(super) by_host: Vec<Option<u64>>,
}

/// The attempts without a final answer.
#[derive(Default)]
pub(super) struct Attempts {
    pub(super) open: BTreeMap<AttemptKey, Attempt>,
    /// Attempts that timed out. Late answers to them are not counted as second answers.
    pub(super) expired: VecDeque<AttemptKey>,
    pub(super) delayed: Vec<DelayedAttempt>,
    pub(super) last_id: u64,
}

impl Attempts {
    /// Returns whether an attempt is open at a host.
    pub(super) fn any_at(&self, host: usize) -> bool {
        let first = AttemptKey { host, id: 0 };
        let last = AttemptKey { host, id: u64::MAX };
        self.open.range(first..=last).next().is_some()
    }
}

/// All clients of a run.
pub(super) struct Clients {
    pub(super) deployment: Arc<Deployment>,
    pub(super) load: Load,
    pub(super) rng: ChaCha8Rng,
    pub(super) links: HostLinks,
    pub(super) attempts: Attempts,
    /// By how many places the busiest host of each volume has moved on in the volume's list of hosts.
    pub(super) busiest_host_shift: usize,
    pub(super) changes: Vec<Change>,
    /// The recently written objects by volume number, the oldest first.
    pub(super) written: BTreeMap<u64, VecDeque<WrittenObject>>,
    pub(super) tallies: Tallies,
}

impl Clients {
    pub(super) fn new(deployment: Arc<Deployment>, load: Load, hosts: usize) -> Clients {
        Clients {
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            links: HostLinks {
                by_id: BTreeMap::new(),
                by_host: vec![None; hosts],
            },
            attempts: Attempts::default(),
            busiest_host_shift: 0,
            changes: Vec::new(),
            written: BTreeMap::new(),
            tallies: Tallies::new(),
            deployment,
            load,
        }
    }

    /// Returns whether no attempt is open and no retry is scheduled.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.open.is_empty() && self.attempts.delayed.is_empty()
    }

    pub(super) fn connected(&mut self, opened: OpenedLink) {
        let OpenedLink { host, id, link } = opened;
        self.send_hello(host, &link);
        let host_link = HostLink {
            host,
            link,
            going_away: false,
        };
        self.links.by_id.insert(id, host_link);
        self.links.by_host[host] = Some(id);
    }

    fn send_hello(&self, host: usize, link: &Link) {
        let host_name = self.deployment.hosts.get(host);
        let host_name = host_name.map_or("newcomer", |place| place.name.as_str());
        let hello = Hello {
            role: Role::Client as i32,
            name: format!("client-{host_name}"),
            ..Hello::default()
        };
        // The error is ignored: a closed link reports a `Closed` event, which starts another connection.
        let _ = link.send(Frame::from(hello));
    }

    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::ShiftBusiestHost => self.busiest_host_shift += 1,
            Change::Document(deployment) => self.switch_document(deployment),
            other => self.changes.push(other),
        }
    }

    /// Switches to a document with more hosts, to which requests of the volumes may go too. Its request classes, volumes
    /// and plans must be those of the current one, in the same order. A document is ignored if it adds no host, has
    /// more hosts than the client has addresses for, or has another number of volumes.
    fn switch_document(&mut self, deployment: Arc<Deployment>) {
        let adds_reachable_hosts = deployment.hosts.len() > self.deployment.hosts.len()
            && deployment.hosts.len() <= self.links.by_host.len();
        if adds_reachable_hosts && deployment.volumes.len() == self.deployment.volumes.len() {
            self.deployment = deployment;
        }
    }

    /// Returns the tally of the attempt's request class and plan.
    pub(super) fn tally(&mut self, attempt: &Attempt) -> &mut Tally {
        let request_class = &self.deployment.request_classes[attempt.request_class].name;
        let plan = &self.deployment.plans[attempt.plan].name;
        self.tallies
            .entry((request_class.clone(), plan.clone()))
            .or_default()
    }
}
