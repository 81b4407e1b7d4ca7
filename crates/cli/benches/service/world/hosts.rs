//! Hosts: each starts, advances with each input, and ends. Its outputs reach the peers after a network delay.

use super::document::document;
use super::state::{Event, HostEnd, Peer};
use super::{CLIENTS, World};
use gullsail_configuration::diff::diff;
use gullsail_host::core::config_change::{Proposal, ProposalOutcome};
use gullsail_host::core::{ConnectionId, Core, Input, Output};
use gullsail_protocol::{Frame, Message};
use gullsail_scheduler_api::{HostId, Span};
use rand::Rng;

impl World {
    pub(super) fn start_host(&mut self, h: usize) {
        let (seed, incarnation) = (self.rng.random(), self.rng.random());
        let core = Core::new(
            self.deployment.clone(),
            HostId(h as u32),
            seed,
            incarnation,
            self.now,
        );
        let m = &mut self.members[h];
        m.core = Some(core);
        m.incarnation += 1;
        m.next_wake_up_at = None;
        self.incarnations += 1;
        self.advance_host(h);
        for c in 0..CLIENTS {
            let wait = Span::from_micros(self.rng.random_range(0..60_000_000) + c as i64);
            self.schedule(wait, Event::ClientConnects(h));
        }
    }

    /// A host ends, either killed or after it has answered all requests. Connected hosts see the connection close.
    pub(super) fn end_host(&mut self, h: usize) {
        let m = &mut self.members[h];
        m.core = None;
        m.clients.clear();
        for (_, peer) in std::mem::take(&mut m.peers) {
            if let Peer::Host(host_end) = peer {
                let after = self.network_delay();
                self.schedule(
                    after,
                    host_end.receives(|link| Input::Closed(link, "gone".into())),
                );
            }
        }
        self.list_subscribers.retain(|end| end.host != h);
        let incarnation = self.members[h].incarnation;
        let after = Span::from_micros(self.rng.random_range(1..20_000_000));
        self.schedule(after, Event::HostTimer(h, incarnation));
    }

    /// Passes an input to a host and carries out the outputs.
    pub(super) fn handle(&mut self, h: usize, input: Input) {
        self.step(h, Some(input));
    }

    pub(super) fn advance_host(&mut self, h: usize) {
        self.step(h, None);
    }

    pub(super) fn step(&mut self, h: usize, input: Option<Input>) {
        let (now, incarnation) = (self.now, self.members[h].incarnation);
        let Some(core) = &mut self.members[h].core else {
            return;
        };
        let before = (self.clock)();
        if let Some(input) = input {
            core.handle(now, input);
        }
        core.advance(now);
        let outputs: Vec<Output> = core.outputs().collect();
        self.latency.push((self.clock)() - before);
        let next = core.next_wake_up();
        for output in outputs {
            if matches!(output, Output::Finished) {
                return self.end_host(h);
            }
            self.carry_out(h, incarnation, output);
        }
        let m = &mut self.members[h];
        if let Some(at) = next.filter(|at| m.next_wake_up_at.is_none_or(|w| w > *at || w <= now)) {
            m.next_wake_up_at = Some(at);
            self.schedule(at - now, Event::HostTimer(h, incarnation));
        }
    }

    fn carry_out(&mut self, h: usize, incarnation: u64, output: Output) {
        match output {
            Output::Send { link, frame, .. } => self.send(h, link, frame),
            Output::Connect { link, address } => {
                self.connect(
                    HostEnd {
                        host: h,
                        incarnation,
                        link,
                    },
                    &address,
                );
            }
            Output::Close { link } => {
                if let Some(Peer::Host(host_end)) = self.members[h].peers.remove(&link) {
                    let after = self.network_delay();
                    self.schedule(
                        after,
                        host_end.receives(|link| Input::Closed(link, "closed".into())),
                    );
                }
                self.members[h].clients.remove(&link);
            }
            Output::ProposalDecided { outcome, .. } => match outcome {
                ProposalOutcome::Taken { .. } => self.accepted_documents += 1,
                ProposalOutcome::TurnedDown(why) => {
                    *self.refused.entry(why.join("; ")).or_default() += 1;
                }
            },
            Output::CommandOutcome { .. }
            | Output::Reading { .. }
            | Output::StopListening
            | Output::Finished => {}
        }
    }

    pub(super) fn send(&mut self, h: usize, link: ConnectionId, frame: Frame) {
        let incarnation = self.members[h].incarnation;
        let Some(peer) = self.members[h].peers.get(&link).cloned() else {
            return;
        };
        let len = frame.len();
        self.schedule(
            Span::ZERO,
            Event::ToHost(h, incarnation, Input::Written(link, len)),
        );
        let after = self.network_delay();
        if matches!(frame.message, Message::GoAway(_)) {
            return self.schedule(after, Event::ClientLeaves(h, link));
        }
        let host_end = HostEnd {
            host: h,
            incarnation,
            link,
        };
        match peer {
            Peer::Client => {
                self.answered += u64::from(matches!(
                    frame.message,
                    Message::Answer(_) | Message::NotTaken(_)
                ));
            }
            Peer::Node(name) => self.schedule(after, Event::ToNode(name, host_end, frame)),
            Peer::EndpointList => self.schedule(after, Event::ToList(host_end, frame)),
            Peer::Host(other_end) => {
                self.schedule(after, other_end.receives(|link| Input::Frame(link, frame)))
            }
        }
    }

    fn connect(&mut self, host_end: HostEnd, address: &str) {
        let after = self.network_delay();
        let Some(peer) = self.peer_at(host_end, address) else {
            return self.schedule(
                after,
                host_end.receives(|link| Input::ConnectFailed(link, "refused".into())),
            );
        };
        let other = if let Peer::Host(other) = &peer {
            Some(other.host)
        } else {
            None
        };
        self.members[host_end.host]
            .peers
            .insert(host_end.link, peer);
        self.schedule(after, host_end.receives(Input::Connected));
        if let Some(other) = other {
            self.advance_host(other);
        }
    }

    /// The peer at an address. If it is another host, that host accepts the connection.
    fn peer_at(&mut self, host_end: HostEnd, address: &str) -> Option<Peer> {
        if address == "list" {
            return Some(Peer::EndpointList);
        }
        if self.nodes.contains_key(address) {
            return Some(Peer::Node(address.into()));
        }
        let host: usize = address.strip_prefix('h')?.parse().ok()?;
        let now = self.now;
        let m = &mut self.members[host];
        let link = m.core.as_mut()?.accept(now)?;
        m.peers.insert(link, Peer::Host(host_end));
        Some(Peer::Host(HostEnd {
            host,
            incarnation: m.incarnation,
            link,
        }))
    }

    pub(super) fn reply(&mut self, host_end: HostEnd, frame: impl Into<Frame>) {
        let after = self.network_delay();
        self.schedule(
            after,
            host_end.receives(|link| Input::Frame(link, frame.into())),
        );
    }

    pub(super) fn propose_next_document(&mut self) {
        self.revision += 1;
        let (old, new) = (self.deployment.clone(), document(self.revision));
        for h in 0..self.members.len() {
            let changes = diff(&old, &new);
            let (from, to) = (old.clone(), new.clone());
            let requester = self.revision;
            self.handle(
                h,
                Input::Propose(Box::new(Proposal {
                    requester,
                    from,
                    to,
                    changes,
                    insist: true,
                })),
            );
        }
        self.deployment = new;
    }
}
