//! Hosts change from revision to revision in any order, crash and restart, and receive notices late, twice or not at
//! all. Their limits never sum to more than the limit of the oldest revision that one of them follows.

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

/// Consecutive revisions with random limits and hosts of two volumes.
fn random_revisions(rng: &mut ChaCha8Rng, hosts: u32, count: u64) -> Vec<RevisionLimits> {
    let limits = |revision| {
        let mut volumes = Vec::new();
        for id in 0..2 {
            let limit = rng
                .random_bool(0.85)
                .then(|| f64::from(rng.random_range(1..100u32)));
            let serving: Vec<u32> = (0..hosts).filter(|_| rng.random_bool(0.6)).collect();
            if rng.random_bool(0.9) && !serving.is_empty() {
                volumes.push((id, limit, serving));
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
    /// The revision in the host's configuration file, as an index into the revisions.
    file: usize,
    /// The state of the host; `None`: it is down.
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
    /// The number of checks at which the limit would have been exceeded if each host applied only the revision that it
    /// follows.
    prevented: u32,
}

impl Run {
    /// Creates a run in which all hosts are down, with the first revision in their files.
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
            prevented: 0,
        }
    }

    /// The chain given with a revision: all revisions back to the oldest that any host has in its file.
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

    fn change_revision(&mut self, host: usize, to: usize) {
        // Hosts may not know yet which revisions all hosts have left behind, so the chain has all revisions.
        let chain = self.revisions[..=to].to_vec();
        let host = &mut self.hosts[host];
        if let Some(transition) = &mut host.transition {
            transition.change_revision(chain, self.now).unwrap();
            host.file = to;
        }
    }

    fn run_for(&mut self, ms: i64, lost: f64) {
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

    /// Checks that the limits of all hosts sum to at most each volume's limit by the oldest revision.
    fn check(&mut self) {
        let Some(oldest) = self.running().map(ConfigTransition::revision).min() else {
            return;
        };
        let unlimited = Limit {
            rate: 1e9,
            burst: 1e9,
        };
        let mut prevented = 0;
        for (id, shared) in &self.revisions[oldest.0 as usize - 1].volumes {
            let Some(limit) = shared.limit else { continue };
            let mut rate = 0.0;
            let mut burst = 0.0;
            for transition in self.running() {
                let host_limit = transition.limit_for(*id).unwrap_or(unlimited);
                rate += host_limit.rate;
                burst += host_limit.burst;
            }
            assert!(
                rate <= limit.rate + 1e-9 && burst <= limit.burst + 1e-9,
                "{rate} of {limit:?}"
            );
            prevented += u32::from(self.rate_by_followed_revisions(*id) > limit.rate + 1e-9);
        }
        self.prevented += prevented;
    }

    /// The sum of the rates of all hosts if each applied only the revision that it follows.
    fn rate_by_followed_revisions(&self, id: VolumeId) -> f64 {
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

    /// Kills, starts or changes the revision of a random host.
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
            (1, true, Some(to)) => self.change_revision(host, *to),
            _ => {}
        }
    }

    /// Changes all hosts to the last revision, and runs without lost notices.
    fn finish(&mut self) {
        let last = self.revisions.len() - 1;
        for host in 0..self.hosts.len() {
            if self.hosts[host].transition.is_none() {
                self.start(host);
            }
            if self.hosts[host].file < last {
                self.change_revision(host, last);
            }
            self.check();
        }
        self.run_for(20_000, 0.0);
    }
}

/// Runs random changes; returns how often a limit would have been exceeded without the rule.
fn run_random_changes(seed: u64, count: u32) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let revisions = random_revisions(&mut rng, count, 4);
    let mut run = Run::new(count as usize, revisions, rng);
    (0..count as usize).for_each(|host| run.start(host));
    for _ in 0..60 {
        run.change_one();
        run.check();
        let ms = run.rng.random_range(0..800);
        let lost = run.rng.random_range(0.0..0.9);
        run.run_for(ms, lost);
        run.check();
    }
    run.finish();
    let last = run.revisions.last().unwrap();
    for (number, transition) in (0..).zip(run.running()) {
        assert_eq!(
            transition.missing().collect::<Vec<_>>(),
            [],
            "host {number} does not know that all hosts follow"
        );
        for id in [VolumeId(0), VolumeId(1)] {
            assert_eq!(
                transition.limit_for(id),
                last.limit_for(id, HostId(number), None)
            );
        }
    }
    assert_eq!(run.running().count(), count as usize);
    run.prevented
}

#[test]
fn limits_never_sum_to_more_than_the_oldest_revision_states() {
    let mut runner = TestRunner::new(Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    });
    let prevented = std::cell::Cell::new(0);
    let cases = (any::<u64>(), 2..7u32);
    let result = runner.run(&cases, |(seed, hosts)| {
        prevented.set(prevented.get() + run_random_changes(seed, hosts));
        Ok(())
    });
    result.unwrap();
    // Without the rule, limits would be exceeded in these runs.
    assert!(prevented.get() > 100, "{}", prevented.get());
}

fn rate(transition: &ConfigTransition) -> Option<f64> {
    transition.limit_for(VolumeId(7)).map(|limit| limit.rate)
}

/// Runs eight rounds of notices among hosts without losses.
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

/// A volume is shared by hosts 0 and 1, then by all three hosts with another limit.
struct LimitCase {
    limit_after: Option<f64>,
    /// The rates of hosts 0 and 2 once both have changed and host 1 has not.
    during: [f64; 2],
    /// The rates of hosts 0 and 2 once all hosts have changed and know that.
    after: [f64; 2],
}

#[test]
fn limits_are_the_lowest_of_both_revisions_during_a_transition() {
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
    hosts[0].change_revision(chain.clone(), at(1)).unwrap();
    hosts[2].change_revision(chain.clone(), at(1)).unwrap();
    let changed = hosts[2].changed();
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].host_count, 3);
    assert_eq!(changed[0].host_limit.map(|limit| limit.rate), Some(0.0));
    assert_eq!([rate(&hosts[0]), rate(&hosts[2])], case.during.map(Some));
    hosts[1].change_revision(chain, at(1)).unwrap();
    exchange_notices(&mut hosts);
    assert_eq!([rate(&hosts[0]), rate(&hosts[2])], case.after.map(Some));
    // The change back to an even share is reported once.
    let changed = hosts[2].changed();
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].host_limit, None);
    assert_eq!(hosts[2].changed(), []);
    assert_eq!(
        hosts[0].next(),
        None,
        "all hosts know: no more notices are sent"
    );
}

/// A chain given to a host, and the expected result.
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
        let limit_before = transition.limit_for(VolumeId(7));
        match (transition.change_revision(case.next, at(1)), case.refused) {
            (Ok(()), None) => assert_eq!(Some(transition.revision()), last),
            (Err(error), Some(why)) => {
                assert!(error.to_string().contains(why), "{error}");
                assert_eq!(transition.revision(), revision_before, "the revision stays");
                assert_eq!(transition.limit_for(VolumeId(7)), limit_before);
            }
            (result, _) => panic!("{held:?}: {result:?}"),
        }
    }
}

/// Notices from unknown hosts, truncated ones, ones from a host that went back, and ones on more hosts than there are.
#[test]
fn effects_of_invalid_and_unusual_notices() {
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

/// Notices for 200 hosts are small. All hosts know that all follow a revision soon after a host that was down for long
/// has started.
#[test]
fn a_revision_spreads_to_200_hosts() {
    let count = 200;
    let revisions = vec![
        revision_limits(1, &[(0, Some(10.0), &[0, 1])]),
        revision_limits(2, &[(0, Some(20.0), &[0, 1])]),
    ];
    let mut run = Run::new(count, revisions, ChaCha8Rng::seed_from_u64(3));
    (0..count).for_each(|host| run.start(host));
    (1..count).for_each(|host| run.change_revision(host, 1));
    run.hosts[0].transition = None;
    run.run_for(60_000, 0.0);
    let waiting = |run: &Run| {
        run.running()
            .filter(|transition| !transition.all_hosts_follow())
            .count()
    };
    assert_eq!(
        waiting(&run),
        199,
        "all running hosts wait for the one that is down"
    );
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
    run.run_for(15_000, 0.0);
    assert_eq!(waiting(&run), 0);
}
