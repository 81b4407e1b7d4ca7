//! Whole hosts beside the model of the rules, by their frames: what goes to clients and nodes is what was
//! done, what comes from them is what was seen. Nodes are slow, err, reset, restart cold and drain; clients
//! withdraw and leave; hosts are killed. Peers can't be reached, so every demand report is lost.
//! `GULLSAIL_SEED=N` plays another world by hand.

mod surroundings;

use crate::rig::*;
use gullsail_configuration::Deployment;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::*;
use gullsail_reference_model::{Breach, Model, RuleParameters};
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

/// An attempt that is out at a node.
#[derive(Clone, Copy)]
struct AttemptOut {
    request: RequestId,
    /// Its place among the request's attempts.
    number: u32,
    link: LinkId,
}

/// A node as it is, whatever hosts know of it.
#[derive(Clone, Copy)]
struct NodeState {
    incarnation: u64,
    started_at: Instant,
    state: ListedState,
    /// Chance of an error.
    error_rate: f64,
    /// How many times as slow as it could be.
    slowdown: f64,
    free_at: Instant,
}

impl NodeState {
    fn ready(incarnation: u64, started_at: Instant, free_at: Instant) -> NodeState {
        let state = ListedState::Ready;
        NodeState {
            incarnation,
            started_at,
            state,
            error_rate: 0.0,
            slowdown: 1.0,
            free_at,
        }
    }
}

struct Side {
    rig: Rig,
    incarnation: u32,
    client: LinkId,
    links: [Option<LinkId>; 2],
    /// The nodes' states as its endpoint list reported them last.
    last_list_state: [ListedState; 2],
    list: Option<LinkId>,
    seen: usize,
    connects: usize,
    out: BTreeMap<u64, AttemptOut>,
    attempts: BTreeMap<RequestId, u32>,
}

struct World {
    rng: ChaCha8Rng,
    d: Arc<Deployment>,
    now: Instant,
    model: Model,
    hosts: Vec<Side>,
    mail: Vec<Mail>,
    nodes: [NodeState; 2],
    last: u64,
    breaches: Vec<Breach>,
}

fn start() -> Instant {
    Instant::from_micros(1_000_000_000)
}

impl World {
    fn new(seed: u64) -> World {
        let d = document(&[
            ("legs most=3", "legs most=3 free=1 share=0.02 window=\"1s\""),
            (
                "effect=\"unrepeatable\"",
                "effect=\"unrepeatable\" in-order=#true",
            ),
            ("open=50", "open=500"),
            ("4000B", "4MB"),
        ]);
        let stated = RuleParameters {
            drain_grace: ms(0.0),
            slack: 0.0,
            multiple: 2.0,
            can: CAN,
            answer_slack: ms(0.0),
        };
        let warm = start() - ms(1e6);
        let node = |incarnation| NodeState::ready(incarnation, warm, start());
        let mut w = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            d,
            now: start(),
            model: Model::new(stated),
            hosts: Vec::new(),
            mail: Vec::new(),
            nodes: [node(11), node(12)],
            last: 0,
            breaches: Vec::new(),
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
        self.model
            .host_started(self.now, host, &self.d.config(host));
        // A newborn knows its document, and learns of drains from the list.
        let entries = (0..2)
            .map(|n| self.entry(n, ListedState::Ready, None))
            .collect();
        self.model.saw(
            self.now,
            host,
            &Event::EndpointList {
                update_kind: UpdateKind::StaleSnapshot,
                entries,
            },
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
        Endpoint {
            node,
            shard: ShardId(n as i64 + 1),
            state,
            started,
            ..Endpoint::default()
        }
    }

    /// Hands an input over, then reports to the model what came of it.
    fn handle(&mut self, h: usize, input: Input) {
        self.hosts[h].rig.now = self.now;
        self.hosts[h].rig.handle(input);
        self.look(h);
    }

    fn saw(&mut self, h: usize, event: &Event) {
        self.model.saw(self.now, HostId(h as u32), event);
    }

    fn ended(&mut self, h: usize, attempt: u64, outcome: AttemptOutcome) {
        let Some(out) = self.hosts[h].out.remove(&attempt) else {
            return;
        };
        let end = AttemptEnd {
            id: out.request,
            attempt: out.number,
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
            let SentFrame { at, link, frame } = self.hosts[h].rig.sent[self.hosts[h].seen].clone();
            self.hosts[h].seen += 1;
            let found = match frame.message {
                Message::Attempt(l) => {
                    let id = RequestId(l.mark[1..].parse().unwrap());
                    let n = self.hosts[h]
                        .links
                        .iter()
                        .position(|x| *x == Some(link))
                        .unwrap();
                    let number = self.hosts[h].attempts.entry(id).or_default();
                    let place = *number;
                    *number += 1;
                    let out = AttemptOut {
                        request: id,
                        number: place,
                        link,
                    };
                    self.hosts[h].out.insert(l.attempt, out);
                    let node = gullsail_configuration::node_id(NAMES[n]);
                    let found = self.model.did(
                        at,
                        host,
                        &Action::StartAttempt {
                            id,
                            node,
                            time_out: None,
                        },
                    );
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
                        Ok(Outcome::Rejected) => self.model.did(
                            at,
                            host,
                            &Action::Reject {
                                id,
                                retry_after: None,
                            },
                        ),
                        Ok(Outcome::Failed) => self.model.did(at, host, &Action::Fail { id }),
                        _ => Ok(()),
                    }
                }
                _ => Ok(()),
            };
            self.breaches.extend(found.err());
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
        let handle =
            (kind == 0 || self.rng.random_bool(0.7)).then_some(Handle { shard, object: id });
        let s = Submit {
            id,
            request_class: ["read", "write", "trip"][kind].into(),
            volume: ["v", "w"][usize::from(held)].into(),
            units,
            handle,
            order_key: if kind == 2 {
                format!("k{key}")
            } else {
                String::new()
            },
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
        assert_eq!(
            self.hosts[h].rig.core.counts().not_taken,
            before,
            "at {} ms",
            now.millis()
        );
    }

    /// Answers of nodes that are due at a host.
    fn deliver_mail(&mut self, h: usize) {
        let due: Vec<Mail> = self
            .mail
            .extract_if(.., |m| m.host == h && m.at <= self.now)
            .collect();
        for m in due {
            let host = &self.hosts[h];
            if m.incarnation != host.incarnation || !host.links.contains(&Some(m.link)) {
                continue;
            }
            self.model.step();
            let outcome = match m.result {
                AttemptResult::Succeeded => AttemptOutcome::Succeeded,
                AttemptResult::Rejected => AttemptOutcome::Rejected,
                _ => AttemptOutcome::Failed,
            };
            self.ended(h, m.attempt, outcome);
            let answer = AttemptAnswer {
                attempt: m.attempt,
                result: m.result as i32,
                ..AttemptAnswer::default()
            };
            self.handle(h, Input::Frame(m.link, answer.into()));
        }
    }

    fn run(&mut self) {
        for passed in 1..=LASTS {
            self.now = start() + ms(passed as f64);
            for h in 0..2 {
                self.model.step();
                let span = self.now - self.hosts[h].rig.now;
                self.hosts[h].rig.pass(span);
                self.look(h);
                self.connects(h);
                self.deliver_mail(h);
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
                self.fault();
            }
            self.breaches.extend(self.model.passed(self.now).err());
        }
    }
}

#[test]
fn whole_hosts_keep_the_rules() {
    let by_hand = std::env::var("GULLSAIL_SEED")
        .ok()
        .and_then(|s| s.parse::<u64>().ok());
    let mut tested = [0; 7];
    for seed in by_hand.map_or(1..=14, |seed| seed..=seed) {
        let mut w = World::new(seed);
        w.run();
        if let Some(breach) = w.breaches.first() {
            panic!("seed {seed}: {breach}");
        }
        tested
            .iter_mut()
            .zip(w.model.tested)
            .for_each(|(sum, n)| *sum += n);
        // Each has one answer at most, over the socket too.
        for side in &w.hosts {
            (1..=w.last).for_each(|id| {
                assert!(side.rig.outcomes(side.client, id).len() <= 1, "seed {seed}")
            });
        }
    }
    println!("put to the test: {tested:?}");
    assert!(
        by_hand.is_some() || tested.iter().all(|n| *n >= 30),
        "some rule was hardly tested: {tested:?}"
    );
}
