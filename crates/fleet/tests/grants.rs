//! The member's and the coordinator's side of grants, each tested alone, and the division of a budget.

use gullsail_fleet::allocation::{HostDemand, divide};
use gullsail_fleet::ballot::Ballot;
use gullsail_fleet::coordinator::{Coordinator, Renewal, RenewalOutcome};
use gullsail_fleet::member_lease::{GrantId, MemberLeaseHolder};
use gullsail_fleet::process_id::ProcessId;
use gullsail_fleet::{Budget, FleetConfig, WHOLE};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const BUDGET: VolumeId = VolumeId(1);

fn budget(hosts: u32, floor: u32, smallest_share: u32) -> Budget {
    Budget {
        hosts: (0..hosts).map(HostId).collect(),
        floor,
        lagging_hosts: BTreeMap::new(),
        min_share: smallest_share,
    }
}

fn fleet_config(hosts: u32) -> FleetConfig {
    let budgets = [(BUDGET, budget(hosts, 50_000, 1000))].into();
    FleetConfig {
        fleet: 7,
        hosts,
        lease: Span::from_millis(1000.0),
        drift: 0.01,
        voters: 1,
        budgets,
        maintenance: None,
    }
}

fn ms(at: i64) -> Instant {
    Instant::from_micros(1_000_000_000 + at * 1000)
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 0 }
}

fn grant_id(round: u64, serial: u64) -> GrantId {
    GrantId {
        ballot: ballot(round),
        serial,
    }
}

/// A member that was polled by the coordinator of round 5.
fn polled_member() -> MemberLeaseHolder {
    let mut holder = MemberLeaseHolder::new(ms(0));
    assert!(holder.accept_poll(HostId(0), ballot(5), ms(0)));
    holder
}

/// Two renewals overtook each other, so the older grant answers the later renewal. It arrives after the lease of the
/// newer grant has expired. The coordinator may have granted its share to other hosts by then.
#[test]
fn an_older_grant_is_refused_after_the_newer_lease_expired() {
    let config = fleet_config(2);
    let mut holder = polled_member();
    let first = holder.register_renewal(ms(0));
    let second = holder.register_renewal(ms(500));
    let shares = |share| [(BUDGET, share)].into();
    assert!(holder.accept_grant(&config, grant_id(5, 2), first, shares(300), ms(600)));
    assert!(!holder.accept_grant(&config, grant_id(5, 1), second, shares(900), ms(700)));
    assert!(holder.drop_expired_lease(ms(990)));
    assert!(!holder.accept_grant(&config, grant_id(5, 1), second, shares(900), ms(1000)));
    assert_eq!(holder.share(BUDGET, ms(1000)), None);
    // A newer grant is accepted.
    assert!(holder.accept_grant(&config, grant_id(5, 3), second, shares(400), ms(1000)));
}

struct Grant {
    round: u64,
    serial: u64,
    /// The renewal that it answers.
    renewal: u64,
    at: i64,
    accepted: bool,
    /// The member's share afterwards; `None`: it holds no lease.
    share: Option<u32>,
}

/// Several cases of grants that a member receives one after the other.
fn grant_sequences() -> [Vec<Grant>; 6] {
    let grant = |round, serial, renewal, at, accepted, share| Grant {
        round,
        serial,
        renewal,
        at,
        accepted,
        share,
    };
    [
        vec![grant(5, 1, 1, 100, true, Some(1))],
        // The lease expires one lease, less the clock drift, after the renewal was sent.
        vec![
            grant(5, 1, 1, 979, true, Some(1)),
            grant(5, 2, 1, 981, false, None),
        ],
        // An older grant, a repeated grant, and a grant for a renewal that was never sent.
        vec![
            grant(5, 2, 1, 100, true, Some(2)),
            grant(5, 1, 2, 200, false, Some(2)),
            grant(5, 2, 2, 200, false, Some(2)),
        ],
        vec![grant(5, 1, 9, 100, false, None)],
        // Grants of a coordinator before the newest one.
        vec![grant(4, 7, 1, 100, false, None)],
        vec![
            grant(5, 1, 1, 100, true, Some(1)),
            grant(6, 1, 2, 200, true, Some(1)),
            grant(5, 2, 2, 300, false, Some(1)),
        ],
    ]
}

#[test]
fn a_lease_counts_from_its_renewal_and_stale_grants_are_refused() {
    let config = fleet_config(2);
    for (case, grants) in grant_sequences().iter().enumerate() {
        let mut holder = polled_member();
        assert!(!holder.accept_poll(HostId(0), ballot(4), ms(0)));
        assert_eq!(holder.register_renewal(ms(0)), 1);
        assert_eq!(holder.register_renewal(ms(0)), 2);
        for (step, grant) in grants.iter().enumerate() {
            let shares = [(BUDGET, grant.serial as u32)].into();
            let id = grant_id(grant.round, grant.serial);
            let accepted = holder.accept_grant(&config, id, grant.renewal, shares, ms(grant.at));
            assert_eq!(accepted, grant.accepted, "case {case}, grant {step}");
            assert_eq!(
                holder.share(BUDGET, ms(grant.at)),
                grant.share,
                "case {case}, grant {step}"
            );
        }
    }
}

#[test]
fn a_member_renews_four_times_a_lease_and_uses_relays_without_an_answer() {
    let config = fleet_config(2);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut holder = MemberLeaseHolder::new(ms(0));
    assert!(
        holder.next_renewal(&config, ms(1000), &mut rng).is_none(),
        "no coordinator is known"
    );
    holder.accept_poll(HostId(0), ballot(5), ms(1000));
    let mut renewals = Vec::new();
    for at in 1001..5000 {
        if let Some(renewal) = holder.next_renewal(&config, ms(at), &mut rng) {
            renewals.push((at, renewal.use_relays));
        }
    }
    // It renews for two leases without an answer. After that the coordinator counts as unknown.
    assert!((7..=10).contains(&renewals.len()), "{renewals:?}");
    assert!(
        renewals
            .iter()
            .all(|(at, use_relays)| *use_relays == (*at >= 1500)),
        "{renewals:?}"
    );
    assert_eq!(holder.coordinator(), None);
}

fn renewal(host: u32, round: u64, serial: u64, held: u32) -> Renewal {
    Renewal {
        process: ProcessId {
            host: HostId(host),
            incarnation: 7,
        },
        ballot: ballot(round),
        via: None,
        serial,
        demand: BTreeMap::new(),
        held: if held > 0 {
            [(BUDGET, held)].into()
        } else {
            BTreeMap::new()
        },
    }
}

fn granted(outcome: RenewalOutcome) -> Option<u32> {
    if let RenewalOutcome::Granted { shares, .. } = outcome {
        shares.get(&BUDGET).copied()
    } else {
        None
    }
}

/// A new coordinator grants each host the shares that the host reports. It grants more only once all hosts have
/// reported or one lease has passed.
#[test]
fn shares_grow_in_a_takeover_only_after_all_reports_or_one_lease() {
    let config = fleet_config(2);
    // share that the other host reports, and when; time at which this host renews, and its expected share
    let cases = [
        (None, 0, 900, 300_000),
        (None, 0, 1001, 950_000),
        (Some(600_000), 10, 20, 400_000),
        // All hosts have reported, so the other host is counted with the share that it reported.
        (Some(200_000), 10, 300, 450_000),
        // A host that reports no share may be a new process; its earlier process may still hold one.
        (Some(0), 10, 300, 300_000),
    ];
    for (other, reported_at, at, expected) in cases {
        let mut coordinator = Coordinator::new(&config, ballot(9), 1, ms(0));
        let first = coordinator.renew(&config, renewal(0, 9, 5, 300_000), ms(1));
        assert_eq!(granted(first), Some(300_000));
        if let Some(held) = other {
            coordinator.renew(
                &config,
                renewal(1, 9, u64::from(held > 0), held),
                ms(reported_at),
            );
        }
        for step in (reported_at..at).step_by(5) {
            coordinator.advance(&config, ms(step));
        }
        let share = granted(coordinator.renew(&config, renewal(0, 9, 5, 300_000), ms(at))).unwrap();
        assert!(
            share.abs_diff(expected) <= 50_000,
            "{other:?} at {at}: {share}, {expected} expected"
        );
    }
    // A renewal sent before the member learned of this coordinator does not show which shares it holds now.
    let mut coordinator = Coordinator::new(&config, ballot(9), 1, ms(0));
    let outcome = coordinator.renew(&config, renewal(1, 8, 5, 300_000), ms(1));
    assert!(matches!(outcome, RenewalOutcome::StaleBallot));
    assert!(coordinator.members.is_empty());
}

/// A share grows only after other hosts have confirmed smaller shares or their leases have expired.
#[test]
fn a_share_grows_only_after_other_shares_are_released() {
    let config = fleet_config(2);
    let mut coordinator = Coordinator::new(&config, ballot(9), 1, ms(0));
    let asking = |host: u32, serial: u64, demand: f64| Renewal {
        demand: [(BUDGET, demand)].into(),
        ..renewal(host, 9, serial, 0)
    };
    let serial = |outcome: &RenewalOutcome| match outcome {
        RenewalOutcome::Granted { serial, .. } => *serial,
        _ => 0,
    };
    for at in 0..=1001 {
        coordinator.advance(&config, ms(at));
    }
    let first = granted(coordinator.renew(&config, asking(0, 0, 100.0), ms(1010))).unwrap();
    let mut held = 0;
    assert!(first > 900_000);
    // The other host's demand is nearly all. It gets the available share; the first host's share shrinks with its next
    // renewal.
    for at in (1100..1900).step_by(100) {
        held = granted(coordinator.renew(&config, asking(1, 0, 10_000.0), ms(at))).unwrap();
        assert!(held <= 1_000_000 - first, "{held}");
    }
    let shrunk = coordinator.renew(&config, asking(0, 0, 100.0), ms(1900));
    let serial = serial(&shrunk);
    let small = granted(shrunk).unwrap();
    assert!(small < 200_000, "{small}");
    let unchanged = granted(coordinator.renew(&config, asking(1, 0, 10_000.0), ms(1950))).unwrap();
    assert_eq!(
        unchanged, held,
        "the first host has not confirmed its smaller share"
    );
    coordinator.renew(&config, asking(0, serial, 100.0), ms(2000));
    let grown = granted(coordinator.renew(&config, asking(1, 0, 10_000.0), ms(2050))).unwrap();
    assert!(grown > 800_000);
    assert!(coordinator.committed_total(BUDGET) <= u64::from(WHOLE));
}

/// A thousandth of the whole: the unit of the table below.
const THOUSANDTH: u32 = WHOLE / 1000;

/// A division of a budget among four members.
struct DivisionCase {
    demands: [f64; 4],
    committed_elsewhere: u64,
    /// The share that holds one request of the largest size.
    smallest_share: u32,
    turn: u64,
    /// The share of each member, compared within a tolerance.
    expected: [u32; 4],
}

fn division_cases() -> [DivisionCase; 8] {
    let case = |demands, committed_elsewhere, expected: [u32; 4]| DivisionCase {
        demands,
        committed_elsewhere,
        smallest_share: 1,
        turn: 0,
        expected: expected.map(|share| share * THOUSANDTH),
    };
    let large_requests = |demands, smallest_share, turn, expected| DivisionCase {
        smallest_share: smallest_share * THOUSANDTH,
        turn,
        ..case(demands, 0, expected)
    };
    [
        case([0.0, 0.0, 0.0, 0.0], 0, [250, 250, 250, 250]),
        case([10.0, 0.0, 0.0, 0.0], 0, [790, 70, 70, 70]),
        case([30.0, 10.0, 0.0, 0.0], 0, [610, 250, 70, 70]),
        case([10.0, 10.0, 0.0, 0.0], 600_000, [145, 145, 55, 55]),
        // Each member with demand first gets the share for one request of the largest size.
        large_requests([99.0, 1.0, 0.0, 0.0], 200, 0, [650, 210, 70, 70]),
        // The budget holds such a share for two of four members at a time.
        large_requests([1.0, 1.0, 1.0, 1.0], 400, 0, [500, 400, 50, 50]),
        large_requests([1.0, 1.0, 1.0, 1.0], 400, 1, [50, 500, 400, 50]),
        large_requests([1.0, 1.0, 1.0, 1.0], 400, 3, [400, 50, 50, 500]),
    ]
}

#[test]
fn budgets_are_divided_by_demand_above_floors_or_in_turns_if_small() {
    for case in division_cases() {
        let DivisionCase {
            demands,
            committed_elsewhere,
            smallest_share,
            turn,
            expected,
        } = case;
        let budget = budget(4, 50 * THOUSANDTH, smallest_share);
        let members = demands.iter().enumerate();
        let members = members.map(|(host, demand)| HostDemand {
            host: HostId(host as u32),
            demand: *demand,
        });
        let members: Vec<HostDemand> = members.collect();
        let shares = divide(&budget, &members, committed_elsewhere, turn);
        let shares: Vec<u32> = shares.into_iter().map(|member| member.share).collect();
        let sum: u64 = shares.iter().map(|share| u64::from(*share)).sum();
        assert!(
            sum + committed_elsewhere <= u64::from(WHOLE)
                && sum + committed_elsewhere > u64::from(WHOLE) - 10,
            "{shares:?}"
        );
        let near = shares
            .iter()
            .zip(expected)
            .all(|(share, expected)| share.abs_diff(expected) <= 50 * THOUSANDTH);
        assert!(
            near,
            "{demands:?} {committed_elsewhere} {smallest_share} {turn}: {shares:?}, {expected:?} expected"
        );
    }
}
