//! Volumes: tokens, the rate rule, loans; and what hosts say to each other of them, at the desk.

use super::dispatch::{NEXT_EPOCH, STEADY};
use super::*;

pub(super) const EPOCH: Span = Span::from_micros(250_000); // volumes are looked over, at common points
/// A few round trips between hosts: how often tokens are asked for, and how long lent ones may travel.
const ASK_EVERY: Span = Span::from_micros(100_000);
const ASK_PEERS: usize = 3; // at a time: few messages, and one that is lost or has nothing costs little
const SEEKS: u32 = 6; // so often the wait between looks for a volume's other hosts doubles, to 16 s

impl Volume {
    /// This host's part of the rate and of the burst; what was lent is missing from the burst.
    pub(super) fn even(&mut self, now: Instant, limit: &Limit) -> (f64, f64) {
        while self.lent.pop_front_if(|l| l.0 <= now).is_some() {}
        let lent: f64 = self.lent.iter().map(|l| l.1).sum();
        let even = Limit { rate: limit.rate / self.hosts, burst: limit.burst / self.hosts };
        let part = self.part.unwrap_or(even);
        (part.rate, part.burst - lent)
    }

    /// Also where the plan has none any more and other hosts still hold to the one it had.
    pub(super) fn limit(&self, config: &SchedulerConfig) -> Option<Limit> {
        let limit = self.cross_zone_budget.map(|place| config.cross_zone_budgets[place].limit);
        limit.or_else(|| config.plans.get(self.plan.0)?.limit).or(self.part)
    }

    pub(super) fn refill(&mut self, now: Instant, config: &SchedulerConfig) {
        let span = (now - self.at).secs().max(0.0);
        if let Some(limit) = &self.limit(config) {
            let (rate, cap) = self.even(now, limit);
            self.level = (self.level + rate * span).min(cap);
        }
        let own = self.asked.read(now, LAST);
        self.at = self.at.max(now);
        let Some(plan) = config.plans.get(self.plan.0).filter(|_| self.cross_zone_budget.is_none()) else {
            return;
        };
        let all = self.used.map_or(own * self.hosts, |used| used.max(own)).max(1e-9);
        let rate = plan.reserve * (own / all).max(1.0 / self.hosts / 2.0);
        self.reserve = (self.reserve + rate * span).min(rate + config.max_units);
    }

    /// The units that may be sent here until then: what its own part brings, and what other hosts could lend,
    /// unless each of them said of late that it asks for the whole limit itself.
    pub(super) fn hope(&mut self, now: Instant, until: Instant, config: &SchedulerConfig) -> f64 {
        let Some(limit) = self.limit(config) else { return f64::INFINITY };
        self.refill(now, config);
        let (rate, span) = (self.even(now, &limit).0, (until - now).secs().max(0.0));
        let busy = |p: &&(Instant, f64)| now - p.0 < LAST && p.1 >= limit.rate;
        let alone = !config.peer_messages_enabled
            || self.peers.values().filter(busy).count() as f64 + 1.0 >= self.hosts;
        self.level + if alone { rate * span } else { limit.burst + limit.rate * span }
    }

    /// When its own part has brought tokens for all that waits here, and so many units more.
    pub(super) fn refilled(&self, units: f64, config: &SchedulerConfig) -> Span {
        let part = |l: Limit| self.part.map_or(l.rate / self.hosts.max(1.0), |p| p.rate);
        let lacks = |l: Limit| ((self.waiting + units - self.level) / part(l).max(1e-3)).clamp(0.0, 60.0);
        Span::from_millis(self.limit(config).map_or(0.0, lacks) * 1e3).max(EPOCH)
    }

    /// Tokens for a host that lacks some. The rate rule of the design page says what this host keeps: its
    /// own demand while the sum is under the limit, above that its part of the limit by demand. The lender
    /// lowers itself at once, level and cap; a gift that is lost is lost to all.
    pub(super) fn lend(&mut self, now: Instant, config: &SchedulerConfig, want: f64) -> f64 {
        let Some(limit) = self.limit(config) else { return 0.0 };
        self.refill(now, config);
        let own = self.asked.last();
        let all = own + self.peers.values().filter(|p| now - p.0 < LAST).map(|p| p.1).sum::<f64>();
        let keep = if all > limit.rate { own / all * limit.rate } else { own } * LAST.secs();
        // And what its next request needs: many who ask would else leave none enough for a whole one.
        let most = if self.cross_zone_budget.is_some() { config.max_bytes } else { config.max_units };
        let gift = demand_report::rounded(want.min(self.level - keep.max(self.waiting.min(most))));
        self.level -= gift;
        self.lent.extend((gift > 0.0).then_some((now + ASK_EVERY, gift)));
        gift
    }
}

impl Desk {
    pub(super) fn epoch(&mut self) {
        let (now, f) = (self.now, &self.config);
        let next = (now.micros().div_euclid(EPOCH.micros()) + 1) * EPOCH.micros();
        self.actions.push(Action::SetTimer { id: NEXT_EPOCH, at: Instant::from_micros(next) });
        self.turns.retain(|_, t| !t.0.is_empty() || t.1 > now);
        self.left.retain(|_, at| now - *at <= Scheduler::FORGET);
        let lasts = EPOCH.times(f64::from(4 << SEEKS));
        self.users.values_mut().for_each(|u| u.retain(|_, at| now - *at < lasts));
        self.users.retain(|_, u| !u.is_empty());
        // What left is forgotten long after its last request came: no demand report or loan of it is under
        // way then.
        let open = |id: &VolumeId| self.requests.values().any(|x| x.t.volume == *id);
        self.volumes.retain(|id, v| !v.left || v.asked.read(now, LAST) > 1e-9 || open(id));
        let (mut sum, mut busy, mut all, mut seek) = (0.0, 0.0, 0.0, Vec::new());
        for (id, v) in self.volumes.iter_mut() {
            v.refill(now, f);
            let extra = v.extra.read(now, LAST);
            (sum, busy, all) = (sum + extra, busy + f64::from(extra > 0.1), all + v.asked.last());
            if v.limit(f).is_none() || v.hosts <= 1.0 || now < v.seek_at || !f.peer_messages_enabled {
                continue;
            }
            // Two hosts keep a volume's map, in turn: one may be down, or have lost it.
            let keeper = (id.0 + u64::from(v.seeks % 2)) % u64::from(f.hosts.max(1));
            seek.push((HostId(keeper as u32), *id));
            v.seek_at = now + EPOCH.times(f64::from(1 << v.seeks.min(SEEKS)));
            v.seeks = v.seeks.wrapping_add(1);
        }
        self.fair = sum / f64::max(busy, 1.0);
        let crowd = all * f64::from(f.hosts) * f.slow_start.window.secs() / self.shards.len().max(1) as f64;
        self.crowd += (crowd - self.crowd) * STEADY;
        for (to, volume) in seek {
            if to == self.config.me {
                self.meet(to, volume);
            } else {
                self.actions.push(Action::SendToPeer { to, bytes: demand_report::pack_seek(volume) });
            }
        }
    }

    /// The paper's map of gateways and users, spread over the hosts: one asks, and is told the others.
    fn meet(&mut self, from: HostId, volume: VolumeId) {
        let users = self.users.entry(volume).or_default();
        let new = users.insert(from, self.now).is_none();
        let others: Vec<_> = users.keys().filter(|h| **h != from).map(|h| (volume, *h)).collect();
        self.name(from, &others);
        // Who asked before hears of a new one at once.
        others.iter().filter(|_| new).for_each(|o| self.name(o.1, &[(volume, from)]));
    }

    fn name(&mut self, to: HostId, users: &[(VolumeId, HostId)]) {
        if to == self.config.me {
            return users.iter().for_each(|(volume, host)| self.know(*volume, *host));
        }
        let parts = users.chunks(demand_report::PAIRS).map(demand_report::pack_users);
        self.actions.extend(parts.map(|bytes| Action::SendToPeer { to, bytes }));
    }

    fn know(&mut self, volume: VolumeId, host: HostId) {
        let sound = host != self.config.me && host.0 < self.config.hosts;
        self.volumes.entry(volume).and_modify(|v| _ = sound.then(|| v.peers.entry(host).or_default()));
    }

    pub(super) fn ask(&mut self, id: VolumeId) {
        let (now, f) = (self.now, &self.config);
        let Some(v) = self.volumes.get_mut(&id) else { return };
        let Some(limit) = v.limit(f).filter(|_| now >= v.ask_at) else { return };
        v.refill(now, f);
        if v.waiting <= v.level || !f.peer_messages_enabled || v.peers.is_empty() {
            return;
        }
        let (own, cap) = (v.asked.last(), v.even(now, &limit).1);
        let (few, place) = (v.peers.len().min(ASK_PEERS), v.turn % v.peers.len());
        let want = ((v.waiting + own * LAST.secs()).min(cap) - v.level) / few as f64;
        (v.turn, v.ask_at) = (place + few, now + ASK_EVERY);
        let bytes =
            demand_report::pack(now, &[demand_report::Line { volume: id, asked: own, want, lent: 0.0 }]);
        let few = v.peers.keys().cycle().skip(place).take(few);
        self.actions.extend(few.map(|to| Action::SendToPeer { to: *to, bytes: bytes.clone() }));
    }

    pub(super) fn hear(&mut self, from: HostId, bytes: &[u8]) {
        let now = self.now;
        // The hosts' clock is one: what comes from the future, or from long ago, is foreign or overtaken.
        let fresh = |said: Instant| said <= now && now - said < LAST;
        let (said, lines) = match demand_report::unpack(bytes) {
            _ if from == self.config.me || from.0 >= self.config.hosts => return,
            Some(demand_report::Said::Labels(said, lines)) if fresh(said) => (said, lines),
            Some(demand_report::Said::Seeks(volumes)) => {
                return volumes.into_iter().for_each(|v| self.meet(from, v));
            }
            Some(demand_report::Said::Users(pairs)) => {
                return pairs.into_iter().for_each(|p| self.know(p.0, p.1));
            }
            _ => return,
        };
        for l in lines {
            let Some(v) = self.volumes.get_mut(&l.volume) else { continue };
            v.refill(now, &self.config);
            let p = v.peers.entry(from).or_default();
            // Late and repeated demand reports: the newest counts, and nothing lent to an earlier
            // incarnation.
            if said <= p.0 {
                continue;
            }
            *p = (said, l.asked);
            if let Some(limit) = v.limit(&self.config).filter(|_| said > self.born) {
                let lent = if now - said < ASK_EVERY { l.lent } else { 0.0 };
                v.level = (v.level + lent).min(v.even(now, &limit).1);
            }
            let lent = if l.want > 0.0 { v.lend(now, &self.config, l.want) } else { 0.0 };
            if lent > 0.0 {
                let line = demand_report::Line { asked: v.asked.last(), want: 0.0, lent, ..l };
                self.actions.push(Action::SendToPeer { to: from, bytes: demand_report::pack(now, &[line]) });
            }
        }
    }
}
