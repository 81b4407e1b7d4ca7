//! Hosts that go from revision to revision in any order, die and restart, and receive some notices late,
//! twice or not at all: what they may send never sums to more than the limit of the oldest revision that one
//! of them follows.

use gullsail_config_transition::{
    ConfigTransition, NoticeEffect, Revision, RevisionLimits, RevisionNotice, SharedLimit,
};
use gullsail_scheduler_api::{HostId, Instant, Limit, PlanId, Span, VolumeId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(ms: i64) -> Instant {
    Instant::from_micros(ms * 1000)
}

fn revision_limits(revision: u64, volumes: &[(u64, Option<f64>, &[u32])]) -> RevisionLimits {
    let shared = |limit: Option<f64>, hosts: &[u32]| SharedLimit {
        plan: PlanId(0),
        limit: limit.map(|rate| Limit {
            rate,
            burst: rate * 3.0,
        }),
        hosts: hosts.iter().copied().map(HostId).collect(),
    };
    let volumes = volumes
        .iter()
        .map(|(id, limit, hosts)| (VolumeId(*id), shared(*limit, hosts)));
    RevisionLimits {
        revision: Revision(revision),
        volumes: volumes.collect(),
    }
}

/// Some revisions of two volumes that follow each other.
fn random_revisions(rng: &mut ChaCha8Rng, hosts: u32, count: u64) -> Vec<RevisionLimits> {
    let limits = |revision| {
        let mut volumes = Vec::new();
        for id in 0..2 {
            let limit = rng
                .random_bool(0.85)
                .then(|| f64::from(rng.random_range(1..100u32)));
            let through: Vec<u32> = (0..hosts).filter(|_| rng.random_bool(0.6)).collect();
            if rng.random_bool(0.9) && !through.is_empty() {
                volumes.push((id, limit, through));
            }
        }
        let volumes: Vec<_> = volumes
            .iter()
            .map(|(id, limit, hosts)| (*id, *limit, hosts.as_slice()))
            .collect();
        revision_limits(revision, &volumes)
    };
    (1..=count).map(limits).collect()
}

struct Host {
    /// What it starts with: a place among the revisions.
    file: usize,
    /// While it runs.
    transition: Option<ConfigTransition>,
}

struct InFlight {
    arrives: Instant,
    from: HostId,
    to: HostId,
    notice: RevisionNotice,
}

struct Run {
    hosts: Vec<Host>,
    revisions: Vec<RevisionLimits>,
    in_flight: Vec<InFlight>,
    rng: ChaCha8Rng,
    now: Instant,
    /// Moments at which hosts that follow their own revision alone would have exceeded a limit.
    needed: u32,
}

impl Run {
    /// All hosts are down, with the first revision in their files.
    fn new(hosts: usize, revisions: Vec<RevisionLimits>, rng: ChaCha8Rng) -> Run {
        let hosts = (0..hosts)
            .map(|_| Host {
                file: 0,
                transition: None,
            })
            .collect();
        Run {
            hosts,
            revisions,
            in_flight: Vec::new(),
            rng,
            now: at(0),
            needed: 0,
        }
    }

    /// What is given with a revision: all before it, back to the oldest that any host has in its file.
    fn chain(&self, last: usize) -> Vec<RevisionLimits> {
        let oldest = self
            .hosts
            .iter()
            .map(|host| host.file)
            .min()
            .unwrap_or_default();
        self.revisions[oldest..=last].to_vec()
    }

    fn start(&mut self, host: usize) {
        let chain = self.chain(self.hosts[host].file);
        let count = self.hosts.len() as u32;
        self.hosts[host].transition = Some(ConfigTransition::new(
            HostId(host as u32),
            count,
            chain,
            self.now,
        ));
    }

    fn go_on(&mut self, host: usize, to: usize) {
        // Hosts know later than the operator who has followed: all that may be counted is given.
        let chain = self.revisions[..=to].to_vec();
        let host = &mut self.hosts[host];
        if let Some(transition) = &mut host.transition {
            transition.go_on(chain, self.now).unwrap();
            host.file = to;
        }
    }

    fn pass(&mut self, ms: i64, lost: f64) {
        for _ in 0..ms / 20 {
            self.now = self.now + Span::from_micros(20_000);
            self.send_due(lost);
            self.deliver_due(lost);
        }
    }

    fn send_due(&mut self, lost: f64) {
        let longest_ms = if lost > 0.0 { 3000.0 } else { 30.0 };
        for (from, host) in self.hosts.iter_mut().enumerate() {
            let Some(transition) = &mut host.transition else {
                continue;
            };
            for sent in transition.due_notices(self.now, &mut self.rng) {
                let delay = Span::from_millis(self.rng.random_range(1.0..longest_ms));
                let arrives = self.now + delay;
                let from = HostId(from as u32);
                self.in_flight.push(InFlight {
                    arrives,
                    from,
                    to: sent.to,
                    notice: sent.notice,
                });
            }
        }
    }

    fn deliver_due(&mut self, lost: f64) {
        let now = self.now;
        let due: Vec<InFlight> = self
            .in_flight
            .extract_if(.., |sent| sent.arrives <= now)
            .collect();
        for InFlight {
            from, to, notice, ..
        } in due
        {
            let arrives = u32::from(self.rng.random_bool(1.0 - lost));
            let repeated = u32::from(self.rng.random_bool(lost / 3.0));
            for _ in 0..arrives + repeated {
                let Some(transition) = &mut self.hosts[to.0 as usize].transition else {
                    continue;
                };
                if let Some(reply) = transition.handle_notice(from, &notice, now).reply {
                    let arrives = now + Span::from_millis(1.0);
                    self.in_flight.push(InFlight {
                        arrives,
                        from: to,
                        to: from,
                        notice: reply,
                    });
                }
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = &ConfigTransition> {
        self.hosts
            .iter()
            .filter_map(|host| host.transition.as_ref())
    }

    /// Whether every volume's limit by the oldest revision holds over all hosts.
    fn check(&mut self) {
        let Some(oldest) = self.running().map(ConfigTransition::revision).min() else {
            return;
        };
        let unlimited = Limit {
            rate: 1e9,
            burst: 1e9,
        };
        let mut needed = 0;
        for (id, shared) in &self.revisions[oldest.0 as usize - 1].volumes {
            let Some(limit) = shared.limit else { continue };
            let mut rate = 0.0;
            let mut burst = 0.0;
            for transition in self.running() {
                let own = transition.limit_of(*id).unwrap_or(unlimited);
                rate += own.rate;
                burst += own.burst;
            }
            assert!(
                rate <= limit.rate + 1e-9 && burst <= limit.burst + 1e-9,
                "{rate} of {limit:?}"
            );
            needed += u32::from(self.rate_by_own_revisions(*id) > limit.rate + 1e-9);
        }
        self.needed += needed;
    }

    /// What all hosts would send if each followed its own revision alone.
    fn rate_by_own_revisions(&self, id: VolumeId) -> f64 {
        let rates = self.hosts.iter().zip(0..).filter_map(|(host, number)| {
            let revision = host.transition.as_ref()?.revision();
            let limits = &self.revisions[revision.0 as usize - 1];
            Some(
                limits
                    .limit_for(id, HostId(number), None)
                    .map_or(1e9, |limit| limit.rate),
            )
        });
        rates.sum()
    }

    /// One host is killed, starts or goes on, by chance.
    fn change_one(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let file = self.hosts[host].file;
        let is_up = self.hosts[host].transition.is_some();
        let later: Vec<usize> = (file + 1..self.revisions.len()).collect();
        match (
            self.rng.random_range(0..4),
            is_up,
            later.choose(&mut self.rng),
        ) {
            (0, true, _) => self.hosts[host].transition = None,
            (_, false, to) => {
                // Its file may have been changed while it was down.
                let changed = to.copied().filter(|_| self.now.micros() % 3 == 0);
                self.hosts[host].file = changed.unwrap_or(file);
                self.start(host);
            }
            (1, true, Some(to)) => self.go_on(host, *to),
            _ => {}
        }
    }

    /// All come to the last revision, and receive each other's notices again.
    fn settle(&mut self) {
        let last = self.revisions.len() - 1;
        for host in 0..self.hosts.len() {
            if self.hosts[host].transition.is_none() {
                self.start(host);
            }
            if self.hosts[host].file < last {
                self.go_on(host, last);
            }
            self.check();
        }
        self.pass(20_000, 0.0);
    }
}

/// Returns how often a limit would have been exceeded without the rule.
fn play(seed: u64, count: u32) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let revisions = random_revisions(&mut rng, count, 4);
    let mut run = Run::new(count as usize, revisions, rng);
    (0..count as usize).for_each(|host| run.start(host));
    for _ in 0..60 {
        run.change_one();
        run.check();
        let ms = run.rng.random_range(0..800);
        let lost = run.rng.random_range(0.0..0.9);
        run.pass(ms, lost);
        run.check();
    }
    run.settle();
    let last = run.revisions.last().unwrap();
    for (number, transition) in (0..).zip(run.running()) {
        assert_eq!(
            transition.missing().collect::<Vec<_>>(),
            [],
            "host {number} waits"
        );
        for id in [VolumeId(0), VolumeId(1)] {
            assert_eq!(
                transition.limit_of(id),
                last.limit_for(id, HostId(number), None)
            );
        }
    }
    assert_eq!(run.running().count(), count as usize);
    run.needed
}

#[test]
fn limits_never_sum_to_more_than_the_oldest_revision_states() {
    let mut runner = TestRunner::new(Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    });
    let needed = std::cell::Cell::new(0);
    let cases = (any::<u64>(), 2..7u32);
    let result = runner.run(&cases, |(seed, hosts)| {
        needed.set(needed.get() + play(seed, hosts));
        Ok(())
    });
    result.unwrap();
    // The runs would show a host that follows its own revision only.
    assert!(needed.get() > 100, "{}", needed.get());
}

fn rate(transition: &ConfigTransition) -> Option<f64> {
    transition.limit_of(VolumeId(7)).map(|limit| limit.rate)
}

/// Eight rounds of notices among some hosts, none lost.
fn exchange_notices(hosts: &mut [ConfigTransition]) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for round in 0..8 {
        for me in 0..hosts.len() {
            for sent in hosts[me].due_notices(at(200 * round), &mut rng) {
                let to = &mut hosts[sent.to.0 as usize];
                to.handle_notice(HostId(me as u32), &sent.notice, at(200 * round));
            }
        }
    }
}

/// One volume over hosts 0 and 1, then over all three with another limit.
struct LimitCase {
    limit_after: Option<f64>,
    /// What hosts 0 and 2 may send once both have changed and host 1 has not.
    during: [f64; 2],
    /// What they may send once all have changed and know it.
    after: [f64; 2],
}

#[test]
fn limits_during_a_transition() {
    let case = |limit_after, during, after| LimitCase {
        limit_after: Some(limit_after),
        during,
        after,
    };
    let cases = [
        case(60.0, [20.0, 0.0], [20.0, 20.0]),
        case(300.0, [30.0, 0.0], [100.0, 100.0]),
        case(30.0, [10.0, 0.0], [10.0, 10.0]),
    ];
    for case in cases {
        check_limits(&case);
    }
}

fn check_limits(case: &LimitCase) {
    let old = revision_limits(1, &[(7, Some(60.0), &[0, 1])]);
    let new = revision_limits(2, &[(7, case.limit_after, &[0, 1, 2])]);
    let chain = vec![old.clone(), new];
    let mut hosts: Vec<_> = (0..3)
        .map(|me| ConfigTransition::new(HostId(me), 3, vec![old.clone()], at(0)))
        .collect();
    assert_eq!(hosts[0].changed(), []);
    hosts[0].go_on(chain.clone(), at(1)).unwrap();
    hosts[2].go_on(chain.clone(), at(1)).unwrap();
    let changed = hosts[2].changed();
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].hosts, 3);
    assert_eq!(changed[0].part.map(|limit| limit.rate), Some(0.0));
    assert_eq!([rate(&hosts[0]), rate(&hosts[2])], case.during.map(Some));
    hosts[1].go_on(chain, at(1)).unwrap();
    exchange_notices(&mut hosts);
    assert_eq!([rate(&hosts[0]), rate(&hosts[2])], case.after.map(Some));
    // Reported once, as an even share again.
    let changed = hosts[2].changed();
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].part, None);
    assert_eq!(hosts[2].changed(), []);
    assert_eq!(hosts[0].next(), None, "all know: nothing more is sent");
}

/// A chain that is given to a host.
struct ChainCase {
    /// The revisions in the host's chain; it follows the last.
    current: &'static [u64],
    next: Vec<RevisionLimits>,
    /// A part of the error; `None`: the chain is accepted.
    refused: Option<&'static str>,
}

fn limits_of_revision(revision: u64) -> RevisionLimits {
    revision_limits(revision, &[(7, Some(revision as f64), &[0, 1])])
}

fn chain(revisions: &[u64]) -> Vec<RevisionLimits> {
    revisions.iter().copied().map(limits_of_revision).collect()
}

fn accepted_chains() -> [ChainCase; 4] {
    let accepted = |current, next: &[u64]| ChainCase {
        current,
        next: chain(next),
        refused: None,
    };
    [
        accepted(&[4], &[4, 5]),
        accepted(&[4], &[3, 4, 5, 6]),
        accepted(&[4], &[4]),
        accepted(&[3, 4], &[3, 4, 5]),
    ]
}

fn refused_chains() -> [ChainCase; 7] {
    let refused = |current, next, why| ChainCase {
        current,
        next,
        refused: Some(why),
    };
    let differs = revision_limits(4, &[(7, Some(9.0), &[0, 1])]);
    [
        refused(
            &[4],
            vec![differs.clone()],
            "limits or hosts of volumes change, but this host runs revision 4 already",
        ),
        refused(
            &[4],
            vec![differs, limits_of_revision(5)],
            "the configuration named with `after` as revision 4 differs from the one",
        ),
        refused(&[4], chain(&[2]), "revision 2 is not later than 4"),
        refused(&[4], chain(&[]), "revision 0 is not later than 4"),
        refused(
            &[4],
            chain(&[5, 6]),
            "revision 6 follows 5, but this host runs 4",
        ),
        refused(
            &[3, 4],
            chain(&[4, 5]),
            "some hosts may still run revision 3",
        ),
        refused(&[3, 4], chain(&[4]), "some hosts may still run revision 3"),
    ]
}

#[test]
fn chains_that_do_not_continue_are_refused() {
    for case in accepted_chains().into_iter().chain(refused_chains()) {
        let held = case.current;
        let mut transition = ConfigTransition::new(HostId(0), 3, chain(held), at(0));
        let last = case.next.last().map(|limits| limits.revision);
        let revision_before = transition.revision();
        let limit_before = transition.limit_of(VolumeId(7));
        match (transition.go_on(case.next, at(1)), case.refused) {
            (Ok(()), None) => assert_eq!(Some(transition.revision()), last),
            (Err(error), Some(why)) => {
                assert!(error.to_string().contains(why), "{error}");
                assert_eq!(transition.revision(), revision_before, "nothing changes");
                assert_eq!(transition.limit_of(VolumeId(7)), limit_before);
            }
            (result, _) => panic!("{held:?}: {result:?}"),
        }
    }
}

/// Notices of unknown hosts, cut off, of hosts that went back, and of more hosts than there are.
#[test]
fn invalid_and_unusual_notices() {
    let notice = |held, revision, hosts: &[u8]| RevisionNotice {
        held: Revision(held),
        revision: Revision(revision),
        hosts: hosts.to_vec(),
    };
    let cases = [
        (1, notice(5, 5, &[0b111]), NoticeEffect::News),
        (1, notice(5, 5, &[]), NoticeEffect::News),
        (1, notice(4, 5, &[0xff, 0xff, 0xff]), NoticeEffect::News),
        (0, notice(9, 9, &[0b111]), NoticeEffect::Nothing),
        (77, notice(9, 9, &[0b111]), NoticeEffect::Nothing),
        (
            1,
            notice(3, 3, &[]),
            NoticeEffect::WentBack {
                from: Revision(4),
                to: Revision(3),
            },
        ),
    ];
    for (from, notice, expected) in cases {
        let chain = vec![revision_limits(4, &[]), revision_limits(5, &[])];
        let mut transition = ConfigTransition::new(HostId(0), 3, chain, at(0));
        assert_eq!(
            transition
                .handle_notice(HostId(from), &notice, at(1))
                .effect,
            expected,
            "{notice:?}"
        );
    }
}

/// Notices for two hundred hosts are small, and all know after a few rounds though one was down for long.
#[test]
fn two_hundred_hosts_learn_of_a_revision() {
    let count = 200;
    let revisions = vec![
        revision_limits(1, &[(0, Some(10.0), &[0, 1])]),
        revision_limits(2, &[(0, Some(20.0), &[0, 1])]),
    ];
    let mut run = Run::new(count, revisions, ChaCha8Rng::seed_from_u64(3));
    (0..count).for_each(|host| run.start(host));
    (1..count).for_each(|host| run.go_on(host, 1));
    run.hosts[0].transition = None;
    run.pass(60_000, 0.0);
    let waiting = |run: &Run| {
        run.running()
            .filter(|transition| !transition.all_hosts_follow())
            .count()
    };
    assert_eq!(waiting(&run), 199, "one that is down is waited for");
    assert!(
        run.running()
            .all(|transition| transition.missing().collect::<Vec<_>>() == [HostId(0)])
    );
    let later = run.now + Span::from_micros(9_000_000);
    let notices = run.hosts[1]
        .transition
        .as_mut()
        .unwrap()
        .due_notices(later, &mut run.rng);
    assert_eq!(notices.len(), 3);
    assert!(notices[0].notice.hosts.len() <= 25);
    run.hosts[0].file = 1;
    run.start(0);
    run.pass(15_000, 0.0);
    assert_eq!(waiting(&run), 0);
}
