//! One endpoint as this host knows it: its congestion window, its health, its slow start; and the endpoint
//! list.

use super::*;

impl Scheduler {
    // After a node is gone: no list is later than that
    pub(super) const FORGET: Span = Span::from_micros(60_000_000);

    pub(super) fn list(&mut self, update_kind: UpdateKind, entries: &[Endpoint]) {
        let (now, seen) = (self.desk.now, update_kind == UpdateKind::SelfReported);
        let whole = matches!(update_kind, UpdateKind::Snapshot | UpdateKind::StaleSnapshot);
        let named: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
        let missing = self.nodes.values().map(|nd| &nd.entry).filter(|e| whole && !named.contains(&e.node));
        let missing = missing.filter(|e| e.state != EndpointState::Gone).cloned();
        let missing: Vec<_> = missing.map(|e| Endpoint { state: EndpointState::Gone, ..e }).collect();
        for e in missing.iter().chain(entries) {
            self.nodes.entry(e.node).or_insert_with(|| Node::new(e.clone(), now));
            self.post(e.node, NodeNote::Listed(e.clone(), seen));
        }
        let kept = |nd: &Node| nd.entry.state != EndpointState::Gone || now - nd.gone <= Self::FORGET;
        self.nodes.retain(|_, nd| kept(nd) || !nd.inbox.is_empty());
    }
}

// The design's span for demand; other sums keep to it
pub(super) const LAST: Span = Span::from_micros(1_000_000);

impl Node {
    pub(super) const CEILING: f64 = 32.0; // of the design page
    pub(super) const START: f64 = 4.0; // "a few", says the design page
    const LATE: f64 = 0.4; // of the latency objective in the node; the rest is for the wait at the host
    const SILENT: f64 = 3.0; // times the usual latency that an attempt is out and nothing came since
    const STEP: f64 = 0.25; // below one: back there after a few good answers
    const LEAST: f64 = 0.125; // slower, and a host would learn nothing of it within most latency objectives
    const RAMP_TRUST: f64 = 0.8; // of the growth that the ramp bounds promise to a cold node
    const PROVEN: f64 = 0.33; // of a served attempt still counts: its work may be put off, or was cheap
    const SELDOM: f64 = 0.5; // answers in the last second: with fewer, its window would learn after the jam
    const LONE_ATTEMPT: f64 = 0.25; // of what is borne in any case, by however many hosts

    pub(super) fn new(entry: Endpoint, now: Instant) -> Self {
        let (gone, window) = (now, Self::START);
        Node { entry, window, halved: now, heard: now, gone, last_sent: now, ..Node::default() }
    }

    pub(super) fn take(&mut self, note: NodeNote, now: Instant) {
        match note {
            NodeNote::Beat => {}
            NodeNote::Listed(e, seen) => {
                if e.started > self.entry.started {
                    (self.window, self.heard, self.lost) = (Self::START, now, 0);
                }
                // The list is late: a drain is believed at once, but taken back only by a newer start.
                let ended = self.entry.state != EndpointState::Ready && e.started <= self.entry.started;
                let state = if ended { self.entry.state.max(e.state) } else { e.state };
                self.gone = if self.entry.state == EndpointState::Gone { self.gone } else { now };
                // A connection that broke is taken for a restart until the same process says otherwise.
                let started = if seen { e.started } else { e.started.max(self.entry.started) };
                self.entry = Endpoint { state, started, ..e };
            }
            NodeNote::Out { id, attempt, units, latency_objective } => {
                self.out.insert((id, attempt), (now, latency_objective));
                self.last_sent = now;
                self.cold_sent.push(((id, attempt), now, units, false));
            }
            NodeNote::Ended { id, attempt, outcome, latency } => {
                let Some((_, latency_objective)) = self.out.remove(&(id, attempt)) else { return };
                let (done, timed_out) =
                    (outcome == AttemptOutcome::Succeeded, outcome == AttemptOutcome::TimedOut);
                let answered = done || matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Rejected);
                if outcome == AttemptOutcome::ConnectionLost {
                    // The process died, no jam: the window stays. What answers next has just started.
                    self.entry.started = self.entry.started.max(Some(now));
                } else if answered {
                    (self.heard, self.lost) = (now, 0);
                }
                self.lost += u32::from(timed_out);
                self.cold_sent.retain_mut(|c| {
                    c.0 != (id, attempt) || (c.3 |= done, outcome != AttemptOutcome::NotSent).1
                });
                // Errors and full queues answer fast, time-outs cut short what would have taken longer: were
                // they not counted as long, a jammed node would look the best of all and stay jammed.
                if answered || timed_out {
                    let long = if timed_out {
                        latency.times(2.0).max(self.latency())
                    } else {
                        latency.max(latency_objective)
                    };
                    self.latency.add(now, LAST, if done { latency } else { long }.secs());
                    self.answers.add(now, LAST, 1.0);
                }
                if done && latency <= latency_objective.times(Self::LATE) {
                    if self.window < 1.0 {
                        self.window = (self.window + Self::STEP).min(1.0);
                    } else if self.out.len() + 1 >= self.window as usize {
                        self.window = (self.window + 1.0 / self.window).min(Self::CEILING);
                    }
                } else if !matches!(
                    outcome,
                    AttemptOutcome::NotSent | AttemptOutcome::Cancelled | AttemptOutcome::ConnectionLost
                ) {
                    self.halve(now);
                }
            }
        }
    }

    pub(super) fn halve(&mut self, now: Instant) {
        if now - self.halved > self.latency() {
            // Many hosts with a window of one each still jam a small or slowed node: below one, attempts are
            // spaced. It costs idle time on a node that is late for one dear request only.
            let least = if self.window > 1.0 { 1.0 } else { Self::LEAST };
            (self.window, self.halved) = ((self.window / 2.0).max(least), now);
        }
    }

    pub(super) fn latency(&self) -> Span {
        let mean = Span::from_millis(self.latency.last() / self.answers.last().max(1e-9) * 1e3);
        // As before the first answer: shorter than any usual latency objective.
        mean.max(Span::from_millis(20.0))
    }

    /// How many units a cold node may be sent now; infinite once it is warm. What is borne in any case is
    /// split evenly between hosts and grows as the ramp promises. Attempts that were served within the rule's
    /// window prove that there was room for them and count in part. Where an even part holds no whole
    /// request, a lone attempt at a time keeps reads alive, the next once it is served; who was served none
    /// of late begins by turns, a window each, as all hosts ask for more than is borne: an attempt of each
    /// would push it over. Harms where this host asks unlike the others.
    pub(super) fn cold_room(&mut self, now: Instant, config: &SchedulerConfig, crowd: f64) -> (f64, f64) {
        let cold = &config.slow_start;
        let Some(age) = self.entry.started.map(|s| now - s).filter(|age| *age < cold.ramp) else {
            self.cold_sent.clear();
            return (f64::INFINITY, f64::INFINITY);
        };
        let gained = (age - cold.window).secs().max(0.0) / cold.ramp.secs();
        let growth = (1.0 - cold.initial_fraction) * gained / cold.initial_fraction.max(0.01);
        let part = config.borne() * (1.0 + Self::RAMP_TRUST * growth);
        // A tenth longer than the rule's window: attempts sent apart may arrive together, or go out later.
        let window = cold.window.times(1.1) + config.connect_wait;
        self.cold_sent.retain(|c| now - c.1 <= window);
        let weight = |c: &ColdAttempt| if c.3 { c.2 * Self::PROVEN } else { c.2 };
        let sent: f64 = self.cold_sent.iter().map(weight).sum();
        let hosts = f64::from(config.hosts.max(1));
        let turns = (crowd / (part * hosts)).max(1.0).ceil();
        let place = (f64::from(config.me.0) + (self.entry.node.0 % 4096) as f64) / hosts * turns;
        let mine = (place + now.millis() / cold.window.millis()) % turns < 1.0;
        let (one, served) = (cold.units * Self::LONE_ATTEMPT, self.cold_sent.iter().all(|c| c.3));
        let lone = served && sent < part.max(one) && (mine || !self.cold_sent.is_empty());
        (if lone { one.max(part - sent) } else { part - sent }, part - sent)
    }

    pub(super) fn room(&mut self, now: Instant, config: &SchedulerConfig, crowd: f64) -> Room {
        let ((units, even), slots) = (self.cold_room(now, config, crowd), self.slots(now, config));
        // It halves with each second of silence: no old jam is held against a node for ever.
        let latency = self.latency().times(0.5f64.powf((now - self.heard).secs().max(0.0)));
        let (silent, seldom) = (self.silent(now), self.answers.clone().read(now, LAST) < Self::SELDOM);
        let weak = units.is_finite() || self.window < Self::START && now - self.halved < Scheduler::FORGET;
        Room { entry: self.entry.clone(), slots, units, even, latency, silent, weak, seldom }
    }

    pub(super) fn silent(&self, now: Instant) -> bool {
        let patience = self.latency().times(Self::SILENT);
        self.out.values().map(|o| o.0).min().is_some_and(|sent| now - sent.max(self.heard) > patience)
    }

    pub(super) fn slots(&self, now: Instant, config: &SchedulerConfig) -> usize {
        // Guards against all hosts asking one node whether it incarnations: where they share it out, each
        // waits for its turn. Harms a node that was late twice of itself: its next attempt waits too.
        let waits = self.lost > 1 && now - self.last_sent < config.probe_interval;
        if self.entry.state != EndpointState::Ready || waits {
            return 0;
        }
        if self.silent(now) {
            // Stalled, dead or cut off, it looks the same: the rest stays here, where it can still be
            // given up or wait for a successor, and one careful attempt at a time asks, ever more seldom.
            return usize::from(
                now - self.last_sent > (now - self.heard).times(0.5).max(config.probe_interval),
            );
        }
        let spaced = self.window >= 1.0 || now - self.last_sent > self.latency().times(1.0 / self.window);
        if spaced { (self.window.max(1.0) as usize).saturating_sub(self.out.len()) } else { 0 }
    }
}

/// Of hundreds of hosts each sends a node an attempt now and then: no window of its own tells of jams in
/// time, but together they make one. So these nodes share a window at each host, zone by zone: one may be cut
/// off. It falls less than a node's own, and by missed latency objectives alone: one attempt in twenty is
/// late of itself. What a cold node misses, or one late within a minute, is its own affair. Harms where many
/// nodes there fail.
impl Seldom {
    pub(super) fn ended(
        &mut self,
        now: Instant,
        outcome: AttemptOutcome,
        latency: Span,
        latency_objective: Span,
        weak: bool,
    ) {
        let (out, jam) = (
            self.out.len() as f64 + 1.0,
            [AttemptOutcome::Succeeded, AttemptOutcome::TimedOut, AttemptOutcome::Rejected],
        );
        if outcome == AttemptOutcome::Succeeded && latency <= latency_objective {
            let more = f64::from(out + 1.0 >= self.window.floor()) / self.window;
            self.window = (self.window + more).min(Node::CEILING);
        } else if !weak && jam.contains(&outcome) && now - latency > self.halved {
            (self.window, self.halved) = ((self.window.min(out) * 0.7).max(1.0), now);
        }
    }
}
