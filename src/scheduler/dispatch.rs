//! Requests from their arrival to their one final answer: admission, queues, choice of endpoint, attempts,
//! retries.

use super::*;

const USUAL: f64 = 0.7; // of a node's mean time most answers take: times are skewed
const TIGHT: f64 = 2.0; // what its own work may take it past the tightest, with no jam to blame
const RETURN: f64 = 2.0; // half of the attempts may fail before a host holds back, as in any rough hour
// Long enough for some attempts of a host that sends seldom
const RECENT: Span = Span::from_micros(3_000_000);
pub(super) const STEADY: f64 = 0.05; // of what is asked now, every epoch: over some seconds, as a ramp lasts
const HEADS: usize = 4; // looked at in each group: the first may be too large for now, or wait its turn
const FAR: f64 = 0.1; // of the odds of a node at home that one elsewhere has
const SAMPLE: usize = 8; // nodes looked at for a new object: enough that some have room
pub(super) const NEXT_EPOCH: TimerId = TimerId(1 << 40);
const ASK_LIST: TimerId = TimerId(NEXT_EPOCH.0 + 1);
const FIRST_BEAT: u64 = NEXT_EPOCH.0 + 2;
// A line is looked over: small against any latency objective
const BEAT_EVERY: Span = Span::from_micros(10_000);
const ASK_FIRST: Span = Span::from_micros(500_000); // for the list again: a few round trips; it doubles
const ASK_LAST: Span = Span::from_micros(7_500_000); // to a minute's eighth

impl Desk {
    pub(super) fn new(config: SchedulerConfig, now: Instant) -> Self {
        let tight =
            config.request_classes.iter().map(|s| s.latency_objective).min().unwrap_or_default().times(TIGHT);
        let (born, crowd) = (now, config.slow_start.units); // as much as is borne: a newborn does not know
        let mut desk = Desk { now, born, config, tight, crowd, ask_again: ASK_FIRST, ..Desk::default() };
        desk.good.add(now, RECENT, Node::START); // a newborn trusts a little before it knows
        desk.actions.extend(desk.config.poll_endpoints.then_some(Action::WatchEndpoints));
        desk.budgets();
        desk.epoch();
        desk
    }

    pub(super) fn take(&mut self, note: DeskNote, rng: &mut ChaCha8Rng) {
        // Whatever comes, also while no node has room: else what is accepted then would only pile up.
        if let Some(b) = self.config.retry_budget {
            // A attempt may go out later than decided: it counts for longer, and what was accepted less long.
            let (from, wait) = (self.now - b.window, self.config.connect_wait);
            while self.accepted.pop_front_if(|at| *at <= from + wait).is_some() {}
            while self.resent.pop_front_if(|at| *at < from - wait).is_some() {}
        }
        match note {
            DeskNote::Room(room) => {
                self.enter(&room, rng);
                self.serve(&room, rng);
            }
            DeskNote::Event(Event::RequestArrived(t)) => self.accept(t, rng),
            DeskNote::Event(Event::AttemptEnded(e)) => self.attempt_ended(e, rng),
            DeskNote::Event(Event::ResponseStarted { id, .. }) => {
                _ = self.requests.entry(id).and_modify(|x| x.closed = true)
            }
            DeskNote::Event(Event::ClientDisconnected(id)) => self.close(id),
            DeskNote::Event(Event::PeerMessage { from, bytes }) => self.hear(from, &bytes),
            DeskNote::Event(Event::EndpointListLost) => {
                // All hosts call again when the list was down: each by its number a little apart.
                let part = 0.5 + 0.5 * f64::from(self.config.me.0) / f64::from(self.config.hosts.max(1));
                let wait = self.ask_again.min(self.config.poll_within.unwrap_or(ASK_LAST)).times(part);
                self.ask_again = self.ask_again.times(2.0).min(ASK_LAST);
                self.actions.push(Action::SetTimer { id: ASK_LIST, at: self.now + wait });
            }
            DeskNote::Event(Event::EndpointList {
                update_kind: UpdateKind::StaleSnapshot | UpdateKind::SelfReported,
                ..
            }) => {}
            DeskNote::Event(Event::EndpointList { .. }) => self.ask_again = ASK_FIRST,
            DeskNote::Event(Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets,
                fleet_membership,
            }) => {
                self.volumes.values_mut().for_each(|v| v.refill(self.now, &self.config));
                self.config.follow(plans, cross_zone_budgets, fleet_membership);
                self.budgets();
                self.change(&allocations);
            }
            DeskNote::Event(Event::Timer(NEXT_EPOCH)) => self.epoch(),
            DeskNote::Event(Event::Timer(ASK_LIST)) => self.actions.push(Action::WatchEndpoints),
            DeskNote::Event(Event::Timer(id)) if id > NEXT_EPOCH => {
                let Some(key) = self.beats.remove(&id) else { return };
                if let Some(line) = self.lines.get_mut(&key).filter(|l| l.beat == Some(id)) {
                    line.beat = None;
                    self.look_over(key, self.now + self.soonest(key.1).times(USUAL).max(BEAT_EVERY), rng);
                }
            }
            DeskNote::Event(Event::Timer(TimerId(id))) => self.give_up(RequestId(id)),
        }
    }

    /// Budgets stand among the volumes, by names of their own: they fill, are lent and asked for alike.
    pub(super) fn budgets(&mut self) {
        let (now, f) = (self.now, &self.config);
        let place = |id: &VolumeId| {
            f.cross_zone_budgets.iter().position(|c| c.hosts > 0 && demand_report::carried(c.id) == *id)
        };
        self.volumes.retain(|id, v| v.cross_zone_budget.is_none() || place(id).is_some());
        for (id, c) in
            f.cross_zone_budgets.iter().filter(|c| c.hosts > 0).map(|c| (demand_report::carried(c.id), c))
        {
            let v = self.volumes.entry(id).or_insert_with(|| Volume { at: now, ..Volume::default() });
            (v.cross_zone_budget, v.hosts) = (place(&id), f64::from(c.hosts));
        }
    }

    /// The budgets that bytes of a plan's volume from zone to zone count against, and which are hard.
    pub(super) fn across(
        &self,
        plan: PlanId,
        from: ZoneId,
        to: ZoneId,
    ) -> impl Iterator<Item = (VolumeId, bool)> {
        let (of, all) = (
            [BudgetScope::ZonePair(from, to), BudgetScope::Plan(plan)],
            self.config.cross_zone_budgets.iter(),
        );
        let some = all.filter(move |c| from != to && c.hosts > 0 && of.contains(&c.of));
        some.map(|c| (demand_report::carried(c.id), c.hard))
    }

    /// Takes bytes that cross to or from a zone from their budgets; what goes past is told with its cause.
    pub(super) fn cross(
        &mut self,
        id: RequestId,
        plan: PlanId,
        (there, to): (ZoneId, bool),
        bytes: f64,
        cause: OverrunCause,
    ) {
        let Some(me) = self.config.zone else { return };
        let (from, to) = if to { (me, there) } else { (there, me) };
        for (cross_zone_budget, _) in self.across(plan, from, to).collect::<Vec<_>>() {
            let Some(v) = self.volumes.get_mut(&cross_zone_budget) else { continue };
            v.refill(self.now, &self.config);
            v.asked.add(self.now, LAST, bytes);
            (v.level, v.waiting) = (v.level - bytes, bytes);
            let over = bytes.min(-v.level);
            if over > 0.0 {
                self.actions.push(Action::BudgetOverrun { id, cross_zone_budget, bytes: over, cause });
            }
            self.ask(cross_zone_budget);
        }
    }

    /// Why this host's zone has no node for new objects of a pool, if it has none.
    pub(super) fn homeless(&self, pool: PoolId) -> Option<OverrunCause> {
        let me = self.config.zone?;
        let ready = self.ready.get(&pool).into_iter().flatten().map(|nd| &self.rooms[nd]);
        let mut here = ready.filter(|r| r.entry.zone == me).peekable();
        if here.peek().is_none() {
            Some(OverrunCause::NoLocalNode)
        } else {
            here.all(|r| r.silent).then_some(OverrunCause::LocalNodesSilent)
        }
    }

    /// May what has a choice go to that zone, now or within so long? With tokens, once half of its time is
    /// gone; past a soft budget only where there is no node at home.
    pub(super) fn may_cross(&self, x: &OpenRequest, zone: ZoneId, within: Span) -> bool {
        let Some(me) = self.config.zone.filter(|me| *me != zone) else { return true };
        let homeless = self.homeless(x.t.pool).is_some();
        let fits = |(id, hard): (VolumeId, bool)| {
            let v = &self.volumes[&id];
            let rate = v.part.map(|p| p.rate).or(v.limit(&self.config).map(|l| l.rate / v.hosts));
            (homeless && !hard) || v.level + rate.unwrap_or(0.0) * within.secs() >= x.t.bytes
        };
        (homeless || self.now >= x.half_time) && self.across(x.t.plan, me, zone).all(fits)
    }

    /// Other plans, and what volumes may be sent from now on. What a host no longer serves is given up on.
    pub(super) fn change(&mut self, allocations: &[VolumeAllocation]) {
        let now = self.now;
        for t in allocations {
            let id = demand_report::carried(t.volume);
            let v = self.volumes.entry(id).or_insert_with(|| Volume { at: now, ..Volume::default() });
            (v.plan, v.hosts, v.part, v.left) = (t.plan, f64::from(t.hosts.max(1)), t.part, t.hosts == 0);
            v.refill(now, &self.config);
            let waits = |x: &OpenRequest| x.t.volume == id && x.attempts == 0;
            let left = self.requests.iter().filter(|(_, x)| t.hosts == 0 && waits(x)).map(|(id, _)| *id);
            left.collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id));
        }
    }

    pub(super) fn accept(&mut self, mut t: Request, rng: &mut ChaCha8Rng) {
        t.volume = demand_report::carried(t.volume);
        let (now, id, volume, f) = (self.now, t.id, t.volume, &self.config);
        let (Some(s), true) = (f.request_classes.get(t.request_class.0), t.plan.0 < f.plans.len()) else {
            // No document knows it any more. It never ran, and would else never be answered.
            return self.actions.push(Action::Reject { id, retry_after: f.max_retry_after });
        };
        self.accepted.extend(f.retry_budget.map(|_| now));
        let deadline = now + t.timeout - f.tick - f.tick;
        // A client's next try has less time than its first had: the latency objective has run all the while.
        // With less than the latency objective, it is hardly that, but an impatient first one: useful until
        // its deadline.
        let longest = self.longest_timeout.entry(t.request_class).or_insert(t.timeout);
        *longest = t.timeout.max(*longest);
        let objective_deadline = if t.timeout < s.latency_objective {
            deadline
        } else {
            now + s.latency_objective - (*longest - t.timeout)
        };
        let half_time = now + (objective_deadline - now).times(0.5);
        if let (true, Some(object)) = (s.in_order, t.object) {
            self.turns.entry(object).or_default().0.push_back(id);
        }
        let hosts = f64::from(if t.volume_hosts > 0 { t.volume_hosts } else { f.hosts.max(1) });
        let v = self.volumes.entry(volume).or_default();
        if hosts > v.hosts {
            // A newborn can't know what it spent before a kill: its bucket starts empty.
            (v.plan, v.hosts, v.level, v.at) = (t.plan, hosts, 0.0, v.at.max(self.born));
            (v.seeks, v.seek_at) = (0, now);
        }
        v.asked.add(now, LAST, t.units);
        self.actions.push(Action::SetTimer { id: TimerId(id.0), at: deadline });
        self.requests.insert(id, OpenRequest { t, objective_deadline, half_time, ..OpenRequest::default() });
        self.queue(id, rng);
    }

    pub(super) fn queue(&mut self, id: RequestId, rng: &mut ChaCha8Rng) {
        let Some(x) = self.requests.get_mut(&id) else { return };
        let idempotency = self.config.request_classes[x.t.request_class.0].idempotency;
        let bound = x
            .maybe_ran
            .filter(|_| matches!(idempotency, Idempotency::WithKey { group: IdempotencyScope::Shard, .. }));
        let shard = x.t.shard.or(bound.map(|m| m.1));
        let key = (x.attempts > 0, shard.map_or(Where::Pool(x.t.pool), Where::Shard));
        x.line = Some(key);
        let group = (x.t.volume, x.t.request_class);
        self.lines
            .entry(key)
            .or_default()
            .groups
            .entry(group)
            .or_default()
            .insert((x.objective_deadline, id));
        if let (0, Some(v)) = (x.attempts, self.volumes.get_mut(&x.t.volume)) {
            v.waiting += x.t.units;
        }
        if self.starves(id) {
            return self.give_up(id);
        }
        self.look_over(key, self.now, rng);
    }

    /// Will all tokens that can come in its time go to what waits here for its volume and goes before it, as
    /// it is no larger? It would wait only to keep its client away. Harms where those before it give up.
    pub(super) fn starves(&mut self, id: RequestId) -> bool {
        let Some(x) = self.requests.get(&id).filter(|x| x.attempts == 0) else { return false };
        let Some(v) = self.volumes.get_mut(&x.t.volume) else { return false };
        let hope = v.hope(self.now, x.objective_deadline, &self.config);
        let rank = |x: &OpenRequest| {
            (
                self.config.request_classes[x.t.request_class.0].priority_weight,
                self.now - x.objective_deadline,
            )
        };
        let waits = |o: &OpenRequest| o.t.volume == x.t.volume && o.attempts == 0 && o.line.is_some();
        let before = |o: &&OpenRequest| waits(o) && o.t.units <= x.t.units && rank(o) >= rank(x);
        v.waiting > hope && self.requests.values().filter(before).map(|o| o.t.units).sum::<f64>() > hope
    }

    pub(super) fn look_over(&mut self, key: LineKey, least: Instant, rng: &mut ChaCha8Rng) {
        let mut wanted = Vec::new();
        let Some(line) = self.lines.get(&key) else { return };
        let least = if self.nowhere(key.1) { Instant::from_micros(i64::MAX) } else { least };
        let lost = line.groups.values().flat_map(|g| g.iter().take_while(|w| w.0 <= least));
        let mut lost: Vec<_> = lost.map(|w| w.1).collect();
        if let (Where::Pool(pool), true) = (key.1, self.config.zone.is_some()) {
            let lacks: Vec<_> = line.groups.values().flatten().map(|w| (w.1, &self.requests[&w.1])).collect();
            let homeless = self.homeless(pool).is_some();
            let rooms = self.ready.get(&pool).into_iter().flatten().map(|nd| self.rooms[nd].entry.zone);
            let zones: BTreeSet<_> = rooms.filter(|z| Some(*z) != self.config.zone).collect();
            let hope = |x: &OpenRequest| {
                zones.iter().any(|z| self.may_cross(x, *z, x.objective_deadline - self.now))
            };
            let late = lacks.iter().any(|(_, x)| homeless || self.now >= x.half_time);
            // Nothing at home, and no tokens in time for anywhere else: answered at once.
            lost.extend(lacks.iter().filter(|(_, x)| homeless && !zones.is_empty() && !hope(x)).map(|l| l.0));
            let bytes = lacks.iter().map(|(_, x)| x.t.bytes).sum::<f64>();
            let shared = self.config.cross_zone_budgets.iter().filter(|c| late && c.hosts > 0);
            wanted.extend(shared.map(|c| demand_report::carried(c.id)));
            wanted.iter().for_each(|c| _ = self.volumes.entry(*c).and_modify(|v| v.waiting = bytes));
        }
        lost.into_iter().for_each(|id| self.give_up(id));
        let Some(line) = self.lines.get_mut(&key) else { return };
        if line.beat.is_none() {
            self.last_beat += 1;
            let id = TimerId(FIRST_BEAT + self.last_beat);
            line.beat = Some(id);
            self.beats.insert(id, key);
            self.actions.push(Action::SetTimer { id, at: self.now + BEAT_EVERY });
        }
        wanted.extend(line.groups.keys().map(|g| g.0));
        wanted.into_iter().for_each(|v| self.ask(v));
        match key.1 {
            Where::Shard(shard) => {
                let holders = self.shards.get(&shard).into_iter().flatten();
                self.outbox.extend(holders.map(|nd| (*nd, NodeNote::Beat)));
            }
            Where::Pool(pool) => self.draw(pool, rng),
        }
    }

    /// Nobody takes it, and nobody did of late whose successor could come: the wait would be for nothing.
    pub(super) fn nowhere(&self, to: Where) -> bool {
        let none = match to {
            Where::Shard(shard) => !self.shards.contains_key(&shard),
            Where::Pool(pool) => self.ready.get(&pool).is_none_or(Vec::is_empty),
        };
        none && self.left.get(&to).is_none_or(|at| self.now - *at > Scheduler::FORGET)
    }

    pub(super) fn soonest(&self, to: Where) -> Span {
        let Where::Shard(shard) = to else { return Span::ZERO };
        self.holders(shard).map(|nd| self.rooms[&nd].latency).min().unwrap_or(Span::ZERO)
    }

    pub(super) fn attempt_ended(&mut self, e: AttemptEnd, rng: &mut ChaCha8Rng) {
        let AttemptEnd { id, attempt, node, outcome, latency, .. } = e;
        self.outbox.push_back((node, NodeNote::Ended { id, attempt, outcome, latency }));
        self.good.add(self.now, RECENT, f64::from(outcome == AttemptOutcome::Succeeded));
        let left = self.seldom.values_mut().find_map(|s| Some((s.out.remove(&(id, attempt))?, s)));
        let weak = self.rooms.get(&node).is_none_or(|r| r.weak);
        left.into_iter()
            .for_each(|(latency_objective, s)| s.ended(self.now, outcome, latency, latency_objective, weak));
        let Some(plan) = self.requests.get(&id).map(|x| x.t.plan) else { return };
        self.cross(id, plan, (e.zone, false), e.bytes, OverrunCause::DataPlacement);
        let Some(x) = self.requests.get_mut(&id) else { return };
        if let (Some(used), Some(v)) = (e.used, self.volumes.get_mut(&x.t.volume)) {
            v.used = self.config.plans.get(v.plan.0).map(|p| used * p.nominal_rate);
        }
        x.out = x.out.saturating_sub(1);
        x.maybe_ran = x.maybe_ran.filter(|m| m.0 != attempt || !outcome.never_ran());
        let unknown = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        );
        if let (true, Some(turn)) = (unknown, x.t.object.and_then(|o| self.turns.get_mut(&o))) {
            turn.1 = turn.1.max(self.now + self.config.order_settle);
        }
        if x.closed || e.finished {
            return self.close(id);
        }
        let answered = self.now + self.rooms.get(&node).map_or(Span::ZERO, |r| r.latency);
        // After a time-out another attempt mostly does the same work twice.
        let again = answered < x.objective_deadline
            && outcome != AttemptOutcome::TimedOut
            && x.attempts < self.config.max_attempts;
        let idempotency = self.config.request_classes[x.t.request_class.0].idempotency;
        if again && (idempotency != Idempotency::NonIdempotent || x.maybe_ran.is_none()) {
            self.queue(id, rng);
        } else {
            self.give_up(id);
        }
    }

    /// The final answer of a request that gets no more attempts, at once.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(x) = self.requests.get(&id).filter(|x| !x.closed) else { return };
        let idempotency = self.config.request_classes[x.t.request_class.0].idempotency;
        let harmless = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { group: IdempotencyScope::All, .. }
        );
        let may_reject = harmless || (x.maybe_ran.is_none() && x.out == 0);
        let refilled = self.volumes.get(&x.t.volume).map_or(EPOCH, |v| v.refilled(x.t.units, &self.config));
        let advice = x.t.shard.map_or(EPOCH, |shard| self.soonest(Where::Shard(shard))).max(refilled);
        let retry_after = self.config.max_retry_after.map(|most| advice.min(most));
        self.actions.push(if may_reject { Action::Reject { id, retry_after } } else { Action::Fail { id } });
        self.close(id);
    }

    pub(super) fn close(&mut self, id: RequestId) {
        self.leave_line(id);
        let Some(x) = self.requests.get_mut(&id) else { return };
        x.closed = true;
        if x.out == 0 {
            let turn = x.t.object.and_then(|o| self.turns.get_mut(&o));
            turn.into_iter().for_each(|t| t.0.retain(|other| *other != id));
            self.requests.remove(&id);
        }
    }

    pub(super) fn due(&self, x: &OpenRequest) -> f64 {
        let f = &self.config;
        let (v, s) = (&self.volumes[&x.t.volume], &f.request_classes[x.t.request_class.0]);
        let full = s.priority_weight * f.plans[v.plan.0].price; // benefit still due per unit
        // The weighted share: who was sent less than the others, by weight, is inside it.
        let over = (self.fair / v.extra.last().max(1e-9)).min(1.0);
        full * if v.reserve >= x.t.units { 1.0 } else { f.spare_part + (f.share_part - f.spare_part) * over }
    }

    /// May this request have an attempt at that node now, by the rules and the volume's tokens?
    pub(super) fn may_go(&self, id: RequestId, x: &OpenRequest, room: &Room) -> bool {
        let f = &self.config;
        let s = &f.request_classes[x.t.request_class.0];
        // What would be late is not sent: with many hosts each one's single attempt still adds up to a jam.
        if room.units < x.t.units || self.now + room.latency.times(USUAL) > x.objective_deadline {
            return false;
        }
        if x.t.shard.is_none() && !self.may_cross(x, room.entry.zone, Span::ZERO) {
            return false;
        }
        if let (Idempotency::WithKey { group, window }, Some((_, shard, zone, since))) =
            (s.idempotency, x.maybe_ran)
        {
            let zone = group == IdempotencyScope::Zone && zone == room.entry.zone;
            let same = group == IdempotencyScope::All || zone || shard == room.entry.shard;
            if !same || self.now - since >= window {
                return false;
            }
        }
        if x.attempts > 0 {
            let (resent, accepted) = (self.resent.len() as f64, self.accepted.len() as f64);
            return f.retry_budget.is_none_or(|b| resent + 1.0 <= b.free + b.share * accepted);
        }
        if let (true, Some(turn)) = (s.in_order, x.t.object.and_then(|o| self.turns.get(&o)))
            && (turn.0.front() != Some(&id) || self.now < turn.1)
        {
            return false;
        }
        let v = &self.volumes[&x.t.volume];
        v.limit(f).is_none() || v.level >= x.t.units
    }

    pub(super) fn best(&mut self, key: LineKey, room: &Room) -> Option<(f64, RequestId)> {
        let line = self.lines.get(&key)?;
        let shared = self.config.cross_zone_budgets.iter().map(|c| demand_report::carried(c.id));
        let all = line.groups.keys().map(|g| g.0).chain(shared);
        all.for_each(|v| _ = self.volumes.entry(v).and_modify(|v| v.refill(self.now, &self.config)));
        let heads =
            line.groups.values().flat_map(|g| g.iter().take(HEADS)).map(|w| (w.1, &self.requests[&w.1]));
        let ready = heads
            .filter(|h| self.may_go(h.0, h.1, room))
            .map(|(id, x)| (self.due(x), x.objective_deadline, id));
        let best = ready.max_by(|a, b| a.0.total_cmp(&b.0).then((b.1, b.2).cmp(&(a.1, a.2))));
        best.map(|(due, _, id)| (due, id))
    }

    pub(super) fn serve(&mut self, room: &Room, rng: &mut ChaCha8Rng) {
        let id = room.entry.node;
        let drawn: Vec<_> = self.drawn.extract_if((id, PoolId::ALL)..=(id, PoolId::LAST), |_| true).collect();
        // Where most of what hosts send fails, together they keep full nodes full, and crowded nodes serve
        // next to nothing: each sends no more than some times what came back in time.
        let earned = RETURN * self.good.read(self.now, RECENT) + 1.0;
        let seldom = self.seldom.get(&room.entry.zone).filter(|_| room.seldom);
        let shut = seldom.is_some_and(|s| s.out.len() >= s.window as usize);
        if room.slots == 0 || shut || self.sent.read(self.now, RECENT) > earned {
            return;
        }
        for further in [false, true] {
            let own = self.best((further, Where::Shard(room.entry.shard)), room);
            // A new object can wait for a node that nobody's data waits for, until half its time
            // is gone: where data lies unevenly, it would else crowd out what has one node only.
            let news =
                drawn.iter().filter_map(|d| Some((self.best((further, Where::Pool(d.1)), room)?, d.1)));
            let new = news.max_by(|a, b| a.0.0.total_cmp(&b.0.0));
            let must = |n: RequestId| self.now >= self.requests[&n].half_time;
            let new = new.filter(|(n, _)| own.is_none_or(|o| n.0 > o.0 && must(n.1)));
            if let Some((_, id)) = new.map(|n| n.0).or(own) {
                self.send(id, room);
                return new.into_iter().for_each(|n| self.draw(n.1, rng));
            }
        }
    }

    /// Draws the node for the next new object: among a few, with odds in step with the room they have. Those
    /// without are asked anew. A cold one beyond the even part only where most are warm: never as a refuge.
    pub(super) fn draw(&mut self, pool: PoolId, rng: &mut ChaCha8Rng) {
        let waits = |further| self.lines.contains_key(&(further, Where::Pool(pool)));
        let Some(ready) = self.ready.get(&pool).filter(|_| waits(false) || waits(true)) else { return };
        let few: Vec<_> = ready.choose_multiple(rng, SAMPLE).map(|nd| &self.rooms[nd]).collect();
        let warm = |r: &&&Room| r.slots > 0 && r.units.is_infinite();
        let cold = 2 * few.iter().filter(warm).count() > few.len() || few.iter().all(|r| r.units.is_finite());
        let fits = |r: &&&Room| r.slots > 0 && (cold || r.even >= self.config.max_units);
        let takers: Vec<_> = few.iter().filter(fits).collect();
        let away = if self.homeless(pool).is_some() { 1.0 } else { FAR };
        let cost = |r: &Room| if self.config.zone.is_some_and(|me| me != r.entry.zone) { away } else { 1.0 };
        let odds = |r: &&&Room| r.slots as f64 / r.latency.secs().max(1e-3) * cost(r);
        if let Ok(r) = takers.choose_weighted(rng, odds) {
            self.drawn.insert((r.entry.node, pool));
            self.outbox.push_back((r.entry.node, NodeNote::Beat));
        }
        self.outbox.extend(few.iter().filter(|r| r.slots == 0).map(|r| (r.entry.node, NodeNote::Beat)));
    }

    pub(super) fn send(&mut self, id: RequestId, room: &Room) {
        self.leave_line(id);
        let Some(x) = self.requests.get_mut(&id) else { return };
        self.resent.extend(self.config.retry_budget.filter(|_| x.attempts > 0).map(|_| self.now));
        let v = self.volumes.get_mut(&x.t.volume).expect("an open transfer's volume is known");
        if x.attempts == 0 {
            v.level -= x.t.units;
            if self.config.connect_wait > Span::ZERO && v.limit(&self.config).is_some() {
                // Until it has gone out the burst is lower by it, as by a loan: none fills up behind it.
                let until = self.now + self.config.connect_wait + BEAT_EVERY;
                v.lent.push_back((until, x.t.units));
            }
            if v.reserve >= x.t.units {
                v.reserve -= x.t.units;
            } else {
                v.extra.add(self.now, LAST, x.t.units / self.config.plans[v.plan.0].weight.max(0.01));
            }
        }
        let latency_objective =
            self.config.request_classes[x.t.request_class.0].latency_objective.min(self.tight);
        let (t, attempt, node) = (x.t.clone(), x.attempts, room.entry.node);
        self.sent.add(self.now, RECENT, 1.0);
        let (zone, open) = (room.entry.zone, || Seldom { window: Node::CEILING, ..Seldom::default() });
        let seldom = &mut self.seldom.entry(zone).or_insert_with(open).out;
        seldom.extend(room.seldom.then_some(((id, attempt), latency_objective)));
        (x.attempts, x.out) = (x.attempts + 1, x.out + 1);
        x.maybe_ran.get_or_insert((attempt, room.entry.shard, room.entry.zone, self.now));
        self.outbox.push_back((node, NodeNote::Out { id, attempt, units: t.units, latency_objective }));
        self.actions.push(Action::StartAttempt { id, node, time_out: Some(x.objective_deadline - self.now) });
        let else_why = if attempt == 0 { OverrunCause::DataPlacement } else { OverrunCause::Retry };
        let choice = self.homeless(t.pool).filter(|_| t.shard.is_none());
        self.cross(id, t.plan, (room.entry.zone, true), t.bytes, choice.unwrap_or(else_why));
    }
}
