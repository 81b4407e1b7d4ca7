//! Frames that come in, by who sent them. A frame that its sender has no business to send ends that link and
//! nothing else; one of a newer version is skipped.

use super::clock::Learned;
use super::*;
use gullsail_protocol::{ClockReply, EndpointListUpdate};

impl Core {
    pub(super) fn hear(&mut self, id: LinkId, frame: Frame, aged: bool) {
        let (name, bytes) = (frame.message.name(), frame.len());
        self.frame_crosses(id, &frame, false);
        let Some(link) = self.links.get_mut(&id) else { return };
        link.heard = self.now;
        match (&link.who, frame.message) {
            (_, Message::Newer { kind }) => debug!(link = id.0, kind, "kind of a newer version: skipped"),
            (Who::Stranger(_), Message::Hello(hello)) => self.greeted_by_stranger(id, hello),
            (Who::Client, Message::Submit(s)) => self.submit(id, s, frame.body, aged),
            (Who::Client, Message::Withdraw(w)) => self.withdraw(id, w.id),
            (Who::PeerIn { .. }, Message::DemandReport(l)) => self.demand_report(id, l.bytes),
            (Who::PeerIn { .. }, Message::ClockReply(t)) => self.clock_told(id, t),
            (Who::PeerIn { host, .. }, Message::Reached(r)) => {
                let host = *host;
                self.reached(host, r);
            }
            (Who::PeerIn { host, .. }, Message::FleetMessage(note)) => {
                let host = *host;
                self.fleet_message(host, note);
            }
            (Who::PeerOut(_), Message::ClockQuery(a)) => {
                let clock_us = self.now.micros();
                self.send(id, Frame::from(ClockReply { asked_us: a.asked_us, clock_us }));
            }
            (Who::PeerOut(host), Message::Hello(hello)) => {
                let host = *host;
                self.greeted_by_peer(id, host, hello);
            }
            (Who::Node(node), Message::Hello(hello)) => {
                let node = *node;
                self.greeted_by_node(id, node, hello);
            }
            (Who::Node(node), Message::AttemptAnswer(a)) => {
                let node = *node;
                self.attempt_answer(node, a, frame.body, bytes);
            }
            (Who::Node(_), Message::ProbeAnswer(_)) => {}
            (Who::List, Message::Hello(hello)) => {
                if hello.role != Role::List as i32 {
                    return self.hang_up(id, "no node list answers at its address");
                }
                self.list.is_up(id);
                self.in_time(id);
                self.dial_list();
            }
            (Who::List, Message::EndpointListUpdate(news)) => {
                self.in_time(id);
                self.list_news(news);
            }
            (Who::List, Message::EndpointListRefused(r)) => {
                self.in_time(id);
                self.poll_endpoints = false;
                self.list_is_lost(&r.reason);
            }
            _ => {
                warn!(link = id.0, frame = name, "a frame that this side may not send: link ended");
                self.hang_up(id, "a frame that this side may not send");
            }
        }
    }

    fn greeted_by_stranger(&mut self, id: LinkId, hello: Hello) {
        let who = match Role::try_from(hello.role) {
            Ok(Role::Client) => Who::Client,
            Ok(Role::Host) => match self.deployment.host(&hello.name).filter(|h| *h != self.me) {
                Some(host) => {
                    Who::PeerIn { host, clock: PeerClock::default(), waiting: VecDeque::new(), far: false }
                }
                None => return self.hang_up(id, "calls itself a host that the document does not know"),
            },
            _ => return self.hang_up(id, "only clients and hosts connect to a host"),
        };
        let peer = if let Who::PeerIn { host, .. } = &who { Some(*host) } else { None };
        let mut sent = 0;
        if let Some(link) = self.links.get_mut(&id) {
            if let Who::Stranger(bytes) = link.who {
                sent = bytes;
            }
            (link.who, link.due_by) = (who, None);
        }
        if let Some(host) = peer {
            self.crosses_to_peer(host, sent);
            self.ask_clock(id);
        } else {
            self.pressure(id);
        }
    }

    fn greeted_by_peer(&mut self, id: LinkId, host: HostId, hello: Hello) {
        let expected = self.deployment.hosts.get(host.0 as usize).is_some_and(|h| h.name == hello.name);
        if hello.role != Role::Host as i32 || !expected {
            return self.hang_up(id, "another process answers at the peer's address");
        }
        let Some(peer) = self.peers.get_mut(&host) else { return };
        peer.dial.is_up(id);
        self.links.entry(id).and_modify(|l| l.due_by = None);
        for frame in std::mem::take(&mut peer.waiting) {
            self.send(id, frame);
        }
    }

    fn greeted_by_node(&mut self, id: LinkId, node: NodeId, hello: Hello) {
        let Some(n) = self.nodes.get(node) else { return self.hang_up(id, "forgotten") };
        let (is_node, same_name) = (hello.role == Role::Node as i32, n.name == hello.name);
        if !is_node || !same_name || n.shard != ShardId(hello.shard_plus_one - 1) {
            warn!(
                node = n.name,
                found = hello.name,
                shard = hello.shard_plus_one - 1,
                "another node answers there"
            );
            return self.hang_up(id, "another node answers at this node's address");
        }
        if n.dial.link() == Some(id) {
            self.node_up(node, id, hello.incarnation, Span::from_micros(hello.age_us));
        }
    }

    fn list_news(&mut self, news: EndpointListUpdate) {
        self.poll_endpoints = false;
        debug!(version = news.version, whole = news.whole, entries = news.entries.len(), "node list");
        let entries = self.nodes.listed(news.whole, news.entries, &self.deployment, self.now);
        for (shard, names) in self.nodes.shards_twice() {
            warn!(shard = shard.0, nodes = names.join(" "), "the list names two ready nodes with one cell");
        }
        let update_kind = if news.whole { UpdateKind::Snapshot } else { UpdateKind::Delta };
        self.events.push(Event::EndpointList { update_kind, entries });
        self.dial_nodes();
    }

    fn clock_told(&mut self, id: LinkId, tell: ClockReply) {
        let apart = self.deployment.bounds.clock_apart;
        let now = self.now;
        let Some(Link { who: Who::PeerIn { host, clock, waiting, far }, .. }) = self.links.get_mut(&id)
        else {
            return;
        };
        let (asked, said) = (Instant::from_micros(tell.asked_us), Instant::from_micros(tell.clock_us));
        let learned = clock.learn(asked, said, now);
        let (least, most) = clock.bounds(now).unwrap_or_default();
        let (host, was_far) = (*host, std::mem::replace(far, clock.too_far(now, apart)));
        let is_far = *far;
        let waiting = std::mem::take(waiting);
        let (peer, least, most) = (host.0, least.millis(), most.millis());
        match learned {
            Learned::First => info!(peer, ahead_ms_least = least, ahead_ms_most = most, "clock of peer"),
            Learned::Stepped => {
                warn!(peer, ahead_ms_least = least, ahead_ms_most = most, "clock of peer was set")
            }
            Learned::Narrowed | Learned::Nothing => {}
        }
        if is_far && !was_far {
            warn!(
                peer,
                ahead_ms_least = least,
                ahead_ms_most = most,
                "clock of peer too far off: labels dropped"
            );
        }
        if learned != Learned::Nothing {
            waiting.into_iter().for_each(|bytes| self.demand_report(id, bytes));
        }
    }

    /// A demand report is read by our clock. One whose sender's clock is not known waits for it; one whose sender's
    /// clock is too far off is dropped: something is wrong there, and a lost demand report costs no limit.
    fn demand_report(&mut self, id: LinkId, bytes: Vec<u8>) {
        let now = self.now;
        let Some(Link { who: Who::PeerIn { host, clock, waiting, far }, .. }) = self.links.get_mut(&id)
        else {
            return;
        };
        let Some(by) = clock.earliest(now).filter(|_| !*far) else {
            self.counts.demand_reports_dropped += u64::from(*far || waiting.len() >= LABELS_WAIT);
            if !*far && waiting.len() < LABELS_WAIT {
                waiting.push_back(bytes);
            }
            return;
        };
        self.counts.demand_reports_received += 1;
        let from = *host;
        self.events.push(Event::PeerMessage { from, bytes: demand_report::moved(&bytes, by) });
    }
}
