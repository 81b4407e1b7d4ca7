//! Clients as an open loop: requests come when they come, whatever becomes of those before. One task speaks
//! to all hosts, repeats what the effect of its request class allows, and checks the bytes it reads.

pub use crate::load::{Change, Load, Tallies, Tally};
use crate::{BASE_OBJECTS, base_content, content};
use bytes::Bytes;
use gullsail_configuration::Deployment;
use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{Answer, Bounds, Frame, Handle, Hello, Message, Outcome, Role, Submit};
use gullsail_scheduler_api::{Idempotency, IdempotencyScope, Span};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

struct Try {
    submit: Submit,
    body: Bytes,
    request_class: usize,
    plan: usize,
    host: usize,
    began: Instant,
    objective_deadline: Instant,
    deadline: Instant,
}

/// What a request is about.
struct Target {
    body: Bytes,
    handle: Option<Handle>,
    order_key: String,
}

struct Clients {
    deployment: Arc<Deployment>,
    load: Load,
    rng: ChaCha8Rng,
    links: BTreeMap<u64, (usize, Link)>,
    by_host: Vec<Option<u64>>,
    open: BTreeMap<(usize, u64), Try>,
    /// Expired ones, whose answers may still come.
    over: VecDeque<(usize, u64)>,
    later: Vec<(Instant, Try)>,
    last: u64,
    lead: usize,
    changes: Vec<Change>,
    written: BTreeMap<u64, VecDeque<(Handle, u64)>>,
    tallies: Tallies,
}

/// Plays the load until `until`, then waits for what is open. `addresses` are the hosts', in the document's
/// order, then those of hosts that a later document names.
pub async fn run(
    deployment: Arc<Deployment>,
    load: Load,
    addresses: Vec<String>,
    mut changes: mpsc::Receiver<Change>,
    until: Instant,
) -> Tallies {
    let (sink, mut inbox) = mpsc::channel(4096);
    let mut tasks = JoinSet::new();
    let mut connecting: JoinSet<(usize, Option<TcpStream>)> = JoinSet::new();
    let connect = |host: usize, wait: u64| {
        let address = addresses[host].clone();
        async move {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            (host, TcpStream::connect(address).await.ok())
        }
    };
    (0..addresses.len()).for_each(|h| _ = connecting.spawn(connect(h, 0)));
    let mut c = Clients::new(deployment, load, addresses.len());
    let mut next: Vec<Instant> = (0..c.load.rates.len())
        .map(|s| c.next(s, Instant::now()))
        .collect();
    let mut last_link = 0;
    loop {
        let now = Instant::now();
        for (s, due) in next.iter_mut().enumerate() {
            while *due <= now && now < until {
                c.begin(s, now);
                *due = c.next(s, *due);
            }
        }
        c.expire(now);
        if now >= until && c.open.is_empty() && c.later.is_empty() {
            return c.tallies;
        }
        let soon = next.iter().copied().min().filter(|_| now < until);
        let next_wakeup = soon
            .unwrap_or(now + Duration::from_millis(20))
            .min(now + Duration::from_millis(20));
        tokio::select! {
            Some((id, happened)) = inbox.recv() => match happened {
                LinkEvent::Frame(frame) => c.handle_frame(id, frame),
                LinkEvent::Closed(_) => if let Some((host, _)) = c.links.remove(&id) {
                    c.host_gone(host);
                    connecting.spawn(connect(host, 50));
                },
                LinkEvent::Written(_) => {}
            },
            Some(Ok((host, made))) = connecting.join_next(), if !connecting.is_empty() => match made {
                Some(stream) => {
                    last_link += 1;
                    let link = Link::open(stream, last_link, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
                    c.connected(host, last_link, link);
                }
                None => _ = connecting.spawn(connect(host, 50)),
            },
            Some(change) = changes.recv() => c.change(change),
            () = tokio::time::sleep_until(next_wakeup) => {}
            _ = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

impl Clients {
    fn new(deployment: Arc<Deployment>, load: Load, addresses: usize) -> Clients {
        Clients {
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            by_host: vec![None; addresses],
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            over: VecDeque::new(),
            later: Vec::new(),
            last: 0,
            lead: 0,
            changes: Vec::new(),
            written: BTreeMap::new(),
            tallies: Tallies::new(),
            deployment,
            load,
        }
    }

    fn connected(&mut self, host: usize, id: u64, link: Link) {
        self.greet(host, &link);
        self.links.insert(id, (host, link));
        self.by_host[host] = Some(id);
    }

    fn greet(&self, host: usize, link: &Link) {
        let known = self.deployment.hosts.get(host).map(|h| h.name.as_str());
        let name = format!("client-{}", known.unwrap_or("newcomer"));
        let hello = Hello {
            role: Role::Client as i32,
            name,
            ..Hello::default()
        };
        let _ = link.send(Frame::from(hello));
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::LeadMoves => self.lead += 1,
            Change::Document(deployment) => self.follow(deployment),
            other => self.changes.push(other),
        }
    }

    /// A document with more hosts: volumes go through these too. Request classes, volumes and plans are the
    /// same, in the same places. One without an address is known to no client.
    fn follow(&mut self, deployment: Arc<Deployment>) {
        let more = deployment.hosts.len() > self.deployment.hosts.len()
            && deployment.hosts.len() <= self.by_host.len();
        if more && deployment.volumes.len() == self.deployment.volumes.len() {
            self.deployment = deployment;
        }
    }

    fn next(&mut self, s: usize, from: Instant) -> Instant {
        let rate = self.load.rates[s] * self.most_surge();
        match Exp::new(rate) {
            Ok(gap) if rate > 0.0 => {
                from + Duration::from_secs_f64(gap.sample(&mut self.rng).min(3600.0))
            }
            _ => from + Duration::from_secs(3600),
        }
    }

    /// All traffic grows by what the surging volumes add to it.
    fn most_surge(&mut self) -> f64 {
        let now = Instant::now();
        self.changes.retain(|c| match c {
            Change::Surge { until, .. } | Change::Impatient { until, .. } => *until > now,
            Change::LeadMoves | Change::Document(_) => false,
        });
        let weights: Vec<f64> = (0..self.deployment.volumes.len())
            .map(|v| self.weight(v))
            .collect();
        let usual: f64 = self
            .deployment
            .volumes
            .iter()
            .map(|v| self.usual(v.plan.0))
            .sum();
        weights.iter().sum::<f64>() / usual.max(1e-9)
    }

    fn usual(&self, plan: usize) -> f64 {
        self.deployment.plans[plan].decisions.nominal_rate.max(0.1)
    }

    fn weight(&self, v: usize) -> f64 {
        let volume = &self.deployment.volumes[v];
        let plan = &self.deployment.plans[volume.plan.0].name;
        let surges = self.changes.iter().map(|c| match c {
            Change::Surge { who, times, .. }
                if who == "*" || *who == volume.name || who == plan =>
            {
                *times
            }
            _ => 1.0,
        });
        self.usual(volume.plan.0) * surges.product::<f64>()
    }

    fn begin(&mut self, s: usize, now: Instant) {
        let deployment = self.deployment.clone();
        let weights: Vec<_> = (0..deployment.volumes.len())
            .map(|v| (v, self.weight(v)))
            .collect();
        let Ok(v) = weights.choose_weighted(&mut self.rng, |w| w.1).map(|w| w.0) else {
            return;
        };
        let (volume, request_class) = (&deployment.volumes[v], &deployment.request_classes[s]);
        // A volume uses its hosts unevenly: each one half as much as the one before.
        let hosts = &volume.hosts;
        let place = (0..hosts.len())
            .find(|_| self.rng.random_bool(0.5))
            .unwrap_or(0);
        let host = hosts[(place + self.lead) % hosts.len()].0 as usize;
        self.last += 1;
        let mark = format!("{:x}-{}", self.load.seed, self.last);
        let most = deployment.figures().max_units.max(1.0);
        let units = self.rng.random_range(1..=(most / 2.0).ceil() as u32) as f64;
        let target = self.choose_object(v, s, &mark);
        let span = |s: Span| Duration::from_micros(s.micros().max(0) as u64);
        let latency_objective = span(request_class.decisions.latency_objective);
        let timeout = self.choose_timeout(latency_objective, span(request_class.deadline));
        let submit = Submit {
            id: self.last,
            request_class: request_class.name.clone(),
            volume: volume.name.clone(),
            units,
            handle: target.handle,
            order_key: target.order_key,
            mark,
            repeat: 0,
            timeout_us: 0,
        };
        let (objective_deadline, deadline) = (now + latency_objective.min(timeout), now + timeout);
        let t = Try {
            submit,
            body: target.body,
            request_class: s,
            plan: volume.plan.0,
            host,
            began: now,
            objective_deadline,
            deadline,
        };
        let tally = self.tally(&t);
        tally.first_tries += 1;
        tally.units += units;
        self.send(t, now);
    }

    /// The object that a request reads or writes, and what it sends.
    fn choose_object(&mut self, v: usize, s: usize, mark: &str) -> Target {
        let deployment = self.deployment.clone();
        let (volume, request_class) = (&deployment.volumes[v], &deployment.request_classes[s]);
        let mut body = Bytes::new();
        let mut handle = None;
        let mut order_key = String::new();
        if request_class.write {
            body = content(number(mark), self.load.bytes);
        } else {
            let written = self.written.get(&volume.id.0).map_or(0, VecDeque::len);
            let fresh = written > 0 && self.rng.random_bool(self.load.fresh);
            let place = if fresh {
                self.rng.random_range(0..written)
            } else {
                0
            };
            let fresh = fresh.then(|| self.written[&volume.id.0][place].0);
            handle = Some(fresh.unwrap_or_else(|| self.base(v)));
        }
        if request_class.decisions.in_order {
            // Some records of a volume that are written again and again: these name their shard.
            let record = self.rng.random_range(0..3);
            order_key = format!("{}/{record}", volume.name);
            let shards = self.shards();
            let shard = shards[(v + record as usize) % shards.len()];
            handle = Some(Handle {
                shard,
                object: (v as u64) << 8 | record | 1 << 31,
            });
        }
        Target {
            body,
            handle,
            order_key,
        }
    }

    /// How long the client waits: an impatient one only a part of the latency objective.
    fn choose_timeout(&mut self, latency_objective: Duration, deadline: Duration) -> Duration {
        let impatient = self.changes.iter().find_map(|c| match c {
            Change::Impatient { share, part, .. } => Some((*share, *part)),
            _ => None,
        });
        let impatient = impatient.filter(|i| self.rng.random_bool(i.0.clamp(0.0, 1.0)));
        impatient.map_or(deadline, |i| latency_objective.mul_f64(i.1))
    }

    fn shards(&self) -> Vec<i64> {
        let mut shards: Vec<i64> = self.deployment.nodes.iter().map(|n| n.shard.0).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    /// One of the objects that were always there: a volume's lie on a few shards.
    fn base(&mut self, v: usize) -> Handle {
        let shards = self.shards();
        let shard = shards[(v * 7 + self.rng.random_range(0..3)) % shards.len()];
        Handle {
            shard,
            object: self.rng.random_range(0..50),
        }
    }

    fn tally(&mut self, t: &Try) -> &mut Tally {
        let (request_class, plan) = (
            &self.deployment.request_classes[t.request_class].name,
            &self.deployment.plans[t.plan].name,
        );
        self.tallies
            .entry((request_class.clone(), plan.clone()))
            .or_default()
    }

    fn send(&mut self, mut t: Try, now: Instant) {
        let link = self.by_host[t.host].and_then(|l| self.links.get(&l));
        t.submit.timeout_us = t.deadline.duration_since(now).as_micros() as i64;
        let frame = Frame::from(t.submit.clone()).with_body(t.body.clone());
        if link.is_some_and(|(_, l)| l.send(frame).is_ok()) {
            self.open.insert((t.host, t.submit.id), t);
        } else {
            // Nothing was sent: certain not to have run.
            self.again(t, Duration::from_millis(100), true);
        }
    }

    /// Another try, if one is left and there is time; `safe`: nothing of this one ran.
    fn again(&mut self, mut t: Try, wait: Duration, safe: bool) {
        let at = Instant::now() + wait;
        let idempotency = self.deployment.request_classes[t.request_class]
            .decisions
            .idempotency;
        let known = t.submit.handle.is_some();
        let may = safe
            || match idempotency {
                Idempotency::Idempotent => true,
                // Another host would put a new object elsewhere, where its mark is not known.
                Idempotency::WithKey { scope, window } => {
                    let within =
                        t.began.elapsed() + wait < Duration::from_micros(window.micros() as u64);
                    within && (scope == IdempotencyScope::All || known)
                }
                Idempotency::NonIdempotent => false,
            };
        if !may || t.submit.repeat + 1 >= self.load.tries || at >= t.deadline {
            self.tally(&t).unanswered += u64::from(!safe);
            return;
        }
        t.submit.repeat += 1;
        self.last += 1;
        t.submit.id = self.last;
        if safe {
            self.tally(&t).repeats += 1;
        } else {
            // Its host is gone: another of the volume's.
            let mut hosts = self
                .deployment
                .volume(&t.submit.volume)
                .map(|v| v.hosts.to_vec())
                .unwrap_or_default();
            hosts.shuffle(&mut self.rng);
            t.host = hosts
                .iter()
                .map(|h| h.0 as usize)
                .find(|h| *h != t.host)
                .unwrap_or(t.host);
            self.tally(&t).repeats += 1;
        }
        self.later.push((at, t));
    }

    fn expire(&mut self, now: Instant) {
        let mut rest = Vec::new();
        for (at, t) in std::mem::take(&mut self.later) {
            if at <= now {
                self.send(t, now)
            } else {
                rest.push((at, t))
            }
        }
        self.later.append(&mut rest);
        let gone: Vec<_> = self
            .open
            .iter()
            .filter(|(_, t)| t.deadline <= now)
            .map(|(k, _)| *k)
            .collect();
        for key in gone {
            if let Some(t) = self.open.remove(&key) {
                self.tally(&t).unanswered += 1;
                self.over.push_back(key);
            }
        }
        while self.over.len() > 100_000 {
            self.over.pop_front();
        }
    }

    fn host_gone(&mut self, host: usize) {
        self.by_host[host] = None;
        let lost: Vec<_> = self
            .open
            .range((host, 0)..=(host, u64::MAX))
            .map(|(k, _)| *k)
            .collect();
        for key in lost {
            if let Some(t) = self.open.remove(&key) {
                self.again(t, Duration::from_millis(20), false);
            }
        }
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) {
        let Some(host) = self.links.get(&link).map(|l| l.0) else {
            return;
        };
        let now = Instant::now();
        match frame.message {
            Message::Answer(a) => {
                let Some(t) = self.open.remove(&(host, a.id)) else {
                    if !self.over.contains(&(host, a.id))
                        && let Some(tally) = self.tallies.values_mut().next()
                    {
                        tally.second_answers += 1;
                    }
                    return;
                };
                match Outcome::try_from(a.outcome) {
                    Ok(Outcome::Succeeded) => self.done(t, a, frame.body, now),
                    Ok(Outcome::Rejected) => {
                        self.tally(&t).rejected += 1;
                        let wait = Duration::from_micros(a.retry_after_us.max(20_000) as u64);
                        self.again(t, wait, true);
                    }
                    _ => self.tally(&t).failed += 1,
                }
            }
            Message::NotTaken(n) => {
                if let Some(t) = self.open.remove(&(host, n.id)) {
                    self.tally(&t).not_taken += 1;
                    self.again(t, Duration::from_millis(100), true);
                }
            }
            _ => {}
        }
    }

    fn done(&mut self, t: Try, a: Answer, body: Bytes, now: Instant) {
        let in_time = now <= t.objective_deadline;
        let write = self.deployment.request_classes[t.request_class].write;
        let in_order = self.deployment.request_classes[t.request_class]
            .decisions
            .in_order;
        let mut right = true;
        if write {
            let handle = a.handle.unwrap_or_default();
            if !in_order {
                let volume = number_of(&self.deployment, &t.submit.volume);
                let written = self.written.entry(volume).or_default();
                written.push_back((handle, number(&t.submit.mark)));
                if written.len() > 16 {
                    written.pop_front();
                }
            }
        } else if let Some(h) = t.submit.handle {
            let volume = number_of(&self.deployment, &t.submit.volume);
            let written = self
                .written
                .get(&volume)
                .and_then(|w| w.iter().find(|w| w.0 == h));
            right = match written {
                Some((_, seed)) => body == content(*seed, self.load.bytes),
                None if h.object < BASE_OBJECTS => body == base_content(h),
                // Written long ago: its seed is forgotten, its length is not.
                None => body.len() == self.load.bytes,
            };
        }
        let tally = self.tally(&t);
        tally.wrong_bytes += u64::from(!right);
        if in_time {
            tally.in_latency_objective += 1;
            tally.units_in_latency_objective += t.submit.units;
        } else {
            tally.late += 1;
        }
    }
}

fn number(text: &str) -> u64 {
    gullsail_configuration::number(text)
}

fn number_of(deployment: &Deployment, volume: &str) -> u64 {
    deployment.volume(volume).map_or(0, |v| v.id.0)
}
