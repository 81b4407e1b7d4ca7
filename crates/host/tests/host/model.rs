//! Whole hosts beside the model of the rules, by their frames: what goes to clients and nodes is what was done, what
//! comes from them is what was seen. Nodes are slow, err, reset, restart cold and drain; clients withdraw and leave;
//! hosts are killed. Peers can't be reached, so every demand report is lost. `GULLSAIL_SEED=N` plays another world by hand.

use crate::rig::*;
use gullsail_configuration::Deployment;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::*;
use gullsail_reference_model::{Breach, Model, Stated};
use gullsail_scheduler_api::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

const NAMES: [&str; 2] = ["n1", "n2"];
const LASTS: i64 = 6000; // ms
const CAN: f64 = 80.0;

/// What is on its way to a host, and for which incarnation.
struct Mail {
    at: Instant,
    host: usize,
    incarnation: u32,
    link: LinkId,
    attempt: u64,
    result: AttemptResult,
}

/// A attempt that is out at a node: request, its place among the request's attempts, link, node.
type Out = BTreeMap<u64, (RequestId, u32, LinkId, usize)>;

struct Side {
    rig: Rig,
    incarnation: u32,
    client: LinkId,
    links: [Option<LinkId>; 2],
    /// What its list said of the nodes last.
    last_list_state: [ListedState; 2],
    list: Option<LinkId>,
    seen: usize,
    connects: usize,
    out: Out,
    attempts: BTreeMap<RequestId, u32>,
}

struct World {
    rng: ChaCha8Rng,
    d: Arc<Deployment>,
    now: Instant,
    model: Model,
    hosts: Vec<Side>,
    mail: Vec<Mail>,
    /// Incarnation, start, standing, chance of an error, how many times as slow, when it is free.
    nodes: [(u64, Instant, ListedState, f64, f64, Instant); 2],
    last: u64,
    overruns: Vec<Breach>,
}

fn start() -> Instant {
    Instant::from_micros(1_000_000_000)
}

impl World {
    fn new(seed: u64) -> World {
        let d = document(&[
            ("legs most=3", "legs most=3 free=1 share=0.02 window=\"1s\""),
            ("effect=\"unrepeatable\"", "effect=\"unrepeatable\" in-order=#true"),
            ("open=50", "open=500"),
            ("4000B", "4MB"),
        ]);
        let stated =
            Stated { drain_grace: ms(0.0), slack: 0.0, multiple: 2.0, can: CAN, answer_slack: ms(0.0) };
        let warm = start() - ms(1e6);
        let node = |n| (n, warm, ListedState::Ready, 0.0, 1.0, start());
        let mut w = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            d,
            now: start(),
            model: Model::new(stated),
            hosts: Vec::new(),
            mail: Vec::new(),
            nodes: [node(11), node(12)],
            last: 0,
            overruns: Vec::new(),
        };
        for h in 0..2 {
            let side = w.start_host(h, 1);
            w.hosts.push(side);
        }
        w
    }

    fn start_host(&mut self, h: usize, incarnation: u32) -> Side {
        let host = HostId(h as u32);
        self.model.step();
        self.model.born(self.now, host, &self.d.config(host));
        // A newborn knows its document, and learns of drains from the list.
        let entries = (0..2).map(|n| self.entry(n, ListedState::Ready, None)).collect();
        self.model.saw(
            self.now,
            host,
            &Event::EndpointList { update_kind: UpdateKind::StaleSnapshot, entries },
        );
        let mut rig = Rig::new(&self.d, h as u32, self.now);
        let client = rig.client();
        let (out, attempts) = (BTreeMap::new(), BTreeMap::new());
        let last_list_state = [ListedState::Ready; 2];
        Side {
            rig,
            incarnation,
            client,
            links: [None; 2],
            last_list_state,
            list: None,
            seen: 0,
            connects: 0,
            out,
            attempts,
        }
    }

    fn entry(&self, n: usize, state: ListedState, started: Option<Instant>) -> Endpoint {
        let state = match state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Gone => EndpointState::Gone,
        };
        let node = gullsail_configuration::node_id(NAMES[n]);
        Endpoint { node, shard: ShardId(n as i64 + 1), state, started, ..Endpoint::default() }
    }

    /// Hands an input over, then tells the model what came of it.
    fn handle(&mut self, h: usize, input: Input) {
        self.hosts[h].rig.now = self.now;
        self.hosts[h].rig.handle(input);
        self.look(h);
    }

    fn saw(&mut self, h: usize, event: &Event) {
        self.model.saw(self.now, HostId(h as u32), event);
    }

    fn ended(&mut self, h: usize, attempt: u64, outcome: AttemptOutcome) {
        let Some((id, number, ..)) = self.hosts[h].out.remove(&attempt) else { return };
        let end = AttemptEnd {
            id,
            attempt: number,
            node: NodeId(0),
            outcome,
            latency: Span::ZERO,
            finished: outcome == AttemptOutcome::Succeeded,
            used: None,
            zone: ZoneId::default(),
            bytes: 0.0,
        };
        self.saw(h, &Event::AttemptEnded(end));
    }

    /// Frames that the host sent since the last look.
    fn look(&mut self, h: usize) {
        let host = HostId(h as u32);
        while self.hosts[h].seen < self.hosts[h].rig.sent.len() {
            let (at, link, frame) = self.hosts[h].rig.sent[self.hosts[h].seen].clone();
            self.hosts[h].seen += 1;
            let found = match frame.message {
                Message::Attempt(l) => {
                    let id = RequestId(l.mark[1..].parse().unwrap());
                    let n = self.hosts[h].links.iter().position(|x| *x == Some(link)).unwrap();
                    let number = self.hosts[h].attempts.entry(id).or_default();
                    let place = *number;
                    *number += 1;
                    self.hosts[h].out.insert(l.attempt, (id, place, link, n));
                    let node = gullsail_configuration::node_id(NAMES[n]);
                    let found = self.model.did(at, host, &Action::StartAttempt { id, node, time_out: None });
                    self.node_takes(h, n, link, &l);
                    found
                }
                Message::Cancel(c) => {
                    self.ended(h, c.attempt, AttemptOutcome::TimedOut);
                    Ok(())
                }
                Message::Answer(a) => {
                    let id = RequestId(a.id);
                    match Outcome::try_from(a.outcome) {
                        Ok(Outcome::Rejected) => {
                            self.model.did(at, host, &Action::Reject { id, retry_after: None })
                        }
                        Ok(Outcome::Failed) => self.model.did(at, host, &Action::Fail { id }),
                        _ => Ok(()),
                    }
                }
                _ => Ok(()),
            };
            self.overruns.extend(found.err());
        }
    }

    fn node_takes(&mut self, h: usize, n: usize, link: LinkId, l: &Attempt) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        let part = (0.2 + 0.8 * (now - node.1).secs() / 10.0).min(1.0);
        node.5 = node.5.max(now) + Span::from_millis(l.units / (CAN * part) * 1e3 * node.4);
        let result = if self.rng.random_bool(node.3) {
            if self.rng.random_bool(0.3) { AttemptResult::Rejected } else { AttemptResult::Failed }
        } else {
            AttemptResult::Succeeded
        };
        let (at, incarnation) = (
            if result == AttemptResult::Succeeded { node.5 } else { now } + ms(2.0),
            self.hosts[h].incarnation,
        );
        self.mail.push(Mail { at, host: h, incarnation, link, attempt: l.attempt, result });
    }

    /// New connections: nodes and the list answer, peers do not.
    fn connects(&mut self, h: usize) {
        while self.hosts[h].connects < self.hosts[h].rig.connects.len() {
            let (_, link, address) = self.hosts[h].rig.connects[self.hosts[h].connects].clone();
            self.hosts[h].connects += 1;
            self.model.step();
            if address == "list" {
                self.hosts[h].list = Some(link);
                self.handle(h, Input::Connected(link));
                let hello = Hello { role: Role::List as i32, name: "list".into(), ..Hello::default() };
                self.handle(h, Input::Frame(link, hello.into()));
                (0..2).for_each(|n| self.list(h, n));
            } else if let Some(n) = NAMES.iter().position(|name| *name == address) {
                self.hosts[h].links[n] = Some(link);
                self.handle(h, Input::Connected(link));
                let (incarnation, started_at, ..) = self.nodes[n];
                let hello = Hello {
                    role: Role::Node as i32,
                    name: address,
                    incarnation,
                    age_us: (self.now - started_at).micros(),
                    shard_plus_one: n as i64 + 2,
                };
                let entries = vec![self.entry(n, self.hosts[h].last_list_state[n], Some(started_at))];
                self.saw(h, &Event::EndpointList { update_kind: UpdateKind::SelfReported, entries });
                self.handle(h, Input::Frame(link, hello.into()));
            } else {
                self.handle(h, Input::ConnectFailed(link, "refused".into()));
            }
        }
    }

    fn reset(&mut self, h: usize, n: usize) {
        let Some(link) = self.hosts[h].links[n].take() else { return };
        self.model.step();
        let attempts: Vec<u64> =
            self.hosts[h].out.iter().filter(|(_, o)| o.2 == link).map(|(l, _)| *l).collect();
        attempts.into_iter().for_each(|attempt| self.ended(h, attempt, AttemptOutcome::ConnectionLost));
        self.handle(h, Input::Closed(link, "reset".into()));
    }

    fn list(&mut self, h: usize, n: usize) {
        let Some(link) = self.hosts[h].list else { return };
        let (incarnation, started_at, state, ..) = self.nodes[n];
        let entry = ListedEndpoint {
            name: NAMES[n].into(),
            address: NAMES[n].into(),
            shard: n as i64 + 1,
            state: state as i32,
            age_us: (self.now - started_at).micros(),
            incarnation,
            ..ListedEndpoint::default()
        };
        self.model.step();
        self.hosts[h].last_list_state[n] = state;
        let entries = vec![self.entry(n, state, Some(started_at))];
        self.saw(h, &Event::EndpointList { update_kind: UpdateKind::Delta, entries });
        self.handle(
            h,
            Input::Frame(link, EndpointListUpdate { version: 1, whole: false, entries: vec![entry] }.into()),
        );
    }

    fn trouble(&mut self) {
        let (n, h) = (self.rng.random_range(0..2), self.rng.random_range(0..2));
        match self.rng.random_range(0..8) {
            0 | 1 => self.nodes[n].3 = self.rng.random_range(0.2..0.8),
            2 => self.nodes[n].4 = self.rng.random_range(1.0..10.0),
            3 => (0..2).for_each(|n| (self.nodes[n].3, self.nodes[n].4) = (0.0, 1.0)),
            4 => self.reset(h, n),
            5 => {
                // Restarts, cold; connections break, the list says so.
                let now = self.now;
                self.nodes[n] =
                    (self.rng.random_range(100..u64::MAX), now, ListedState::Ready, 0.0, 1.0, now);
                for h in 0..2 {
                    self.reset(h, n);
                    self.list(h, n);
                }
            }
            6 => {
                self.nodes[n].2 = ListedState::Draining;
                (0..2).for_each(|h| self.list(h, n));
            }
            _ => {
                // A host is killed, and is back at once.
                self.model.killed(self.now, HostId(h as u32));
                let incarnation = self.hosts[h].incarnation + 1;
                self.hosts[h] = self.start_host(h, incarnation);
            }
        }
    }

    fn arrival(&mut self, h: usize) {
        self.last += 1;
        let (id, now) = (self.last, self.now);
        let kind = self.rng.random_range(0..3);
        let held = self.rng.random_bool(0.5);
        let shard = self.rng.random_range(1..=2);
        let key = self.rng.random_range(0..4u64);
        let units = self.rng.random_range(1.0..4.0);
        let handle = (kind == 0 || self.rng.random_bool(0.7)).then_some(Handle { shard, object: id });
        let s = Submit {
            id,
            request_class: ["read", "write", "trip"][kind].into(),
            volume: ["v", "w"][usize::from(held)].into(),
            units,
            handle,
            order_key: if kind == 2 { format!("k{key}") } else { String::new() },
            mark: format!("m{id}"),
            repeat: 0,
            // Mostly a first try; some are a next one, or impatient.
            timeout_us: if self.rng.random_bool(0.8) {
                1_500_000
            } else {
                self.rng.random_range(60_000..1_500_000)
            },
        };
        let t = Request {
            id: RequestId(id),
            request_class: RequestClassId(kind),
            plan: PlanId(usize::from(held)),
            volume: VolumeId(u64::from(held)),
            units,
            shard: handle.map(|h| ShardId(h.shard)),
            object: (kind == 2).then_some(ObjectId(key)),
            timeout: Span::from_micros(s.timeout_us),
            volume_hosts: 2,
            ..Request::default()
        };
        self.model.step();
        // By the host's own clock it came now; it is taken unless it says otherwise.
        self.saw(h, &Event::RequestArrived(t));
        let client = self.hosts[h].client;
        let before = self.hosts[h].rig.core.counts().not_taken;
        self.handle(h, Input::Frame(client, s.into()));
        assert_eq!(self.hosts[h].rig.core.counts().not_taken, before, "at {} ms", now.millis());
    }

    fn play(&mut self) {
        for passed in 1..=LASTS {
            self.now = start() + ms(passed as f64);
            for h in 0..2 {
                self.model.step();
                let span = self.now - self.hosts[h].rig.now;
                self.hosts[h].rig.pass(span);
                self.look(h);
                self.connects(h);
                let due = self.mail.extract_if(.., |m| m.host == h && m.at <= self.now).collect::<Vec<_>>();
                for m in due {
                    if m.incarnation != self.hosts[h].incarnation
                        || !self.hosts[h].links.contains(&Some(m.link))
                    {
                        continue;
                    }
                    self.model.step();
                    self.ended(
                        h,
                        m.attempt,
                        match m.result {
                            AttemptResult::Succeeded => AttemptOutcome::Succeeded,
                            AttemptResult::Rejected => AttemptOutcome::Rejected,
                            _ => AttemptOutcome::Failed,
                        },
                    );
                    let a = AttemptAnswer {
                        attempt: m.attempt,
                        result: m.result as i32,
                        ..AttemptAnswer::default()
                    };
                    self.handle(h, Input::Frame(m.link, a.into()));
                }
                if self.rng.random_bool(0.08) {
                    self.arrival(h);
                }
                if self.rng.random_bool(0.002) {
                    // The newest is withdrawn, whether it is open still or not.
                    let (id, client) = (self.last, self.hosts[h].client);
                    self.model.step();
                    self.saw(h, &Event::ClientDisconnected(RequestId(id)));
                    self.handle(h, Input::Frame(client, Withdraw { id }.into()));
                }
            }
            if self.rng.random_bool(0.004) {
                self.trouble();
            }
            self.overruns.extend(self.model.passed(self.now).err());
        }
    }
}

#[test]
fn whole_hosts_keep_the_rules() {
    let by_hand = std::env::var("GULLSAIL_SEED").ok().and_then(|s| s.parse::<u64>().ok());
    let mut tested = [0; 7];
    for seed in by_hand.map_or(1..=14, |seed| seed..=seed) {
        let mut w = World::new(seed);
        w.play();
        if let Some(breach) = w.overruns.first() {
            panic!("seed {seed}: {breach}");
        }
        tested.iter_mut().zip(w.model.tested).for_each(|(sum, n)| *sum += n);
        // Each has one answer at most, over the socket too.
        for side in &w.hosts {
            (1..=w.last).for_each(|id| assert!(side.rig.outcomes(side.client, id).len() <= 1, "seed {seed}"));
        }
    }
    println!("put to the test: {tested:?}");
    assert!(by_hand.is_some() || tested.iter().all(|n| *n >= 30), "some rule was hardly tested: {tested:?}");
}
