//! Which machine goes next, by tables: a function of the line, the machines and the terms alone.

use gullsail_fleet::FleetConfig;
use gullsail_fleet::lease::Ballot;
use gullsail_fleet::maintenance::coordinator::{Heard, MaintenanceCoordinator, Said};
use gullsail_fleet::maintenance::selection::{Now, never, next};
use gullsail_fleet::maintenance::{
    Line, LineAt, MaintenanceConfig, Order, ServerId, ServerObservation, ServerRole, Servers, Stage, may_use,
};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

fn terms() -> MaintenanceConfig {
    MaintenanceConfig {
        at_once: 2,
        in_zone: 1,
        in_pool: 2,
        keep: 0.5,
        keep_shard: 0.0,
        busy: 0.9,
        longest: Span::from_millis(1000.0),
        watched: Span::from_millis(100.0),
        blind: Span::from_millis(3000.0),
        rests: vec![(79_200, 21_600)],
    }
}

/// Nodes 1 to 6: two for each shard, odd ones in zone 0, each can do 100; hosts 11 to 15 are hosts 0 to 4, in zone 2 and on.
fn servers() -> Servers {
    let node = |n: u64| {
        let what = ServerRole::Node { shard: (n as i64 + 1) / 2, pool: 0, can: 100.0 };
        (
            ServerId(n),
            ServerObservation { what, zone: n as u32 % 2, well: true, incarnation: 1, up: Span::ZERO },
        )
    };
    let host = |h: u32| {
        let what = ServerRole::Host(h);
        (
            ServerId(11 + u64::from(h)),
            ServerObservation { what, zone: 2 + h, well: true, incarnation: 1, up: Span::ZERO },
        )
    };
    (1..=6).map(node).chain((0..5).map(host)).collect()
}

fn order(server: u64, stage: Stage, passed: u32) -> Order {
    Order {
        server: ServerId(server),
        number: server,
        stage,
        version: 1,
        age: Span::ZERO,
        as_of: Instant::from_micros(0),
        longest: Span::from_millis(1000.0),
        shard_away: false,
        returns: false,
        reason: String::new(),
        waits: String::new(),
        hosts: Vec::new(),
        passed,
        incarnation: 1,
    }
}

/// Lease a second, clocks alike.
fn fleet_of(hosts: u32, maintenance: &MaintenanceConfig) -> FleetConfig {
    let (lease, budgets) = (Span::from_millis(1000.0), BTreeMap::new());
    FleetConfig {
        fleet: 7,
        hosts,
        lease,
        drift: 0.0,
        voters: 3,
        budgets,
        maintenance: Some(maintenance.clone()),
    }
}

#[test]
fn the_order_keeps_the_terms_and_holds_nobody_up() {
    use Stage::*;
    // orders (machine, stage, passed), machines that are not well, members, units served, second of the day;
    // who goes, and of one that waits why
    type Case = (
        &'static [(u64, Stage, u32)],
        &'static [u64],
        &'static [u32],
        f64,
        u32,
        Option<u64>,
        &'static [(u64, &'static str)],
    );
    let all: &[u32] = &[0, 1, 2, 3, 4];
    let cases: [Case; 17] = [
        (&[(1, Approved, 0), (2, Approved, 0)], &[], all, 0.0, 40_000, Some(1), &[(2, "another goes first")]),
        // Requested is not cleared; one in its zone is away; a place that is free goes to who can have it.
        (&[(1, Requested, 0)], &[], all, 0.0, 40_000, None, &[]),
        (
            &[(1, Offline, 0), (3, Approved, 0), (4, Approved, 0)],
            &[],
            all,
            0.0,
            40_000,
            Some(4),
            &[(3, "1 of 1 away in its zone")],
        ),
        (
            &[(1, Draining, 0), (4, Returning, 0), (12, Approved, 0)],
            &[],
            all,
            0.0,
            40_000,
            None,
            &[(12, "2 of 2 away in all")],
        ),
        // Done and cancelled ones are not away.
        (&[(1, Done, 0), (3, Approved, 0)], &[], all, 0.0, 40_000, Some(3), &[]),
        // The other holder of its shard is away, or failed by itself.
        (&[(1, Offline, 0), (2, Approved, 0)], &[], all, 0.0, 40_000, None, &[(2, "cell 1 would be left")]),
        (&[(1, Approved, 0)], &[2], all, 0.0, 40_000, None, &[(1, "cell 1 would be left")]),
        // A sick one goes first, and takes nothing away by going; but no more are at work than may be.
        (
            &[(1, Approved, 0), (4, Approved, 0)],
            &[4],
            all,
            0.0,
            40_000,
            Some(4),
            &[(1, "another goes first")],
        ),
        (
            &[(1, Offline, 0), (12, Offline, 0), (4, Approved, 0)],
            &[4],
            all,
            0.0,
            40_000,
            None,
            &[(4, "2 of 2 away in all")],
        ),
        // Three of six would stay, of which half must; two of six would not do.
        (&[(1, Approved, 0)], &[4, 6], all, 0.0, 40_000, None, &[(1, "2 of 2 away in all")]),
        // What is served now must fit: five do 500 units, nine tenths of that may be busy.
        (&[(1, Approved, 0)], &[], all, 449.0, 40_000, Some(1), &[]),
        (&[(1, Approved, 0)], &[], all, 451.0, 40_000, None, &[(1, "no room to spare")]),
        // None goes at night.
        (&[(1, Approved, 0)], &[], all, 0.0, 80_000, None, &[(1, "none goes between 22:00 and 06:00")]),
        (&[(1, Approved, 0)], &[], all, 0.0, 21_600, Some(1), &[]),
        // Whoever decides (host 0) goes last; most hosts and voters (the first three) must be left.
        (
            &[(11, Approved, 0), (1, Approved, 0)],
            &[],
            all,
            0.0,
            40_000,
            Some(1),
            &[(11, "it decides, and goes last")],
        ),
        (&[(11, Approved, 0)], &[], &[0, 1, 3], 0.0, 40_000, None, &[(11, "2 of 2 away in all")]),
        // Passed over too often, it goes before those that would take its place: the next is not 5.
        (
            &[(2, Offline, 0), (4, Approved, 4), (5, Approved, 0)],
            &[],
            all,
            0.0,
            40_000,
            None,
            &[(4, "1 of 1 away in its zone"), (5, "another")],
        ),
    ];
    for (orders, sick, members, served, second, goes, waits) in cases {
        let line = Line { orders: orders.iter().map(|o| order(o.0, o.1, o.2)).collect(), ..Line::default() };
        let mut servers = servers();
        for m in sick {
            servers.get_mut(&ServerId(*m)).unwrap().well = false;
        }
        let members: BTreeSet<u32> = members.iter().copied().collect();
        let now =
            Now { servers: &servers, members: &members, hosts: 5, voters: 3, served, coordinator: 0, second };
        let (got, why) = next(&line, &terms(), &now);
        assert_eq!(got, goes.map(ServerId), "{orders:?} {sick:?}: {why:?}");
        for (server, says) in waits {
            let said = why.iter().find(|w| w.0.0 == *server).map(|w| w.1.as_str()).unwrap_or_default();
            assert!(said.contains(says), "{orders:?} {sick:?}: {server} waits for {said:?}, not {says:?}");
        }
    }
}

#[test]
fn too_few_voters_and_capacity_hold_it_up() {
    let mut t = MaintenanceConfig { at_once: 9, in_zone: 9, in_pool: 9, ..terms() };
    let servers = servers();
    let members: BTreeSet<u32> = (0..5).collect();
    let line = |gone: &[u64], next: u64| {
        let orders =
            gone.iter().map(|m| order(*m, Stage::Offline, 0)).chain([order(next, Stage::Approved, 0)]);
        Line { orders: orders.collect(), ..Line::default() }
    };
    // gone, next, whether it goes
    let cases: [(&[u64], u64, bool); 6] = [
        (&[12], 14, true),
        (&[12], 13, false),     // two of three voters would be gone
        (&[14, 15], 12, false), // three of five hosts
        (&[1, 3], 5, true),     // half of all that can be done stays
        (&[1, 3, 5], 2, false),
        (&[14], 11, true),
    ];
    let blocked = |t: &MaintenanceConfig, gone: &[u64], server: u64| {
        let now = Now {
            servers: &servers,
            members: &members,
            hosts: 5,
            voters: 3,
            served: 0.0,
            coordinator: 9,
            second: 40_000,
        };
        next(&line(gone, server), t, &now).0 != Some(ServerId(server))
    };
    for (gone, server, goes) in cases {
        assert_eq!(!blocked(&t, gone, server), goes, "{gone:?}, then {server}");
    }
    assert_eq!(never(&t, &servers, ServerId(1)), None);
    t.keep = 0.9;
    assert!(never(&t, &servers, ServerId(1)).is_some_and(|why| why.contains("keep=0.9")));
}

#[test]
fn what_a_host_may_send_to_goes_by_its_line_and_its_lease() {
    use Stage::*;
    let at = |ms: i64| Instant::from_micros(ms * 1000);
    // order for the machine, since when there is no lease, now; may it send
    let cases = [
        (None, None, 0, true),
        (Some(Requested), None, 0, true),
        (Some(Draining), None, 0, false),
        (Some(Drained), None, 0, false),
        (Some(Offline), None, 0, false),
        (Some(Overdue), None, 0, false),
        (Some(Returning), None, 0, true),
        (Some(Cancelled), None, 0, true),
        // Without a lease: what is in line at all is let go of at once, all else once it is out of touch for too long.
        (None, Some(100), 200, true),
        (None, Some(100), 3000, true),
        (None, Some(100), 3100, false),
        (Some(Requested), Some(100), 100, false),
        (Some(Returning), Some(100), 100, false),
        (Some(Done), Some(100), 200, true),
    ];
    for (stage, lost, now, may) in cases {
        let orders = stage.map(|s| order(1, s, 0)).into_iter().collect();
        let line = Line { orders, ..Line::default() };
        let got = may_use(Some(&line), &terms(), 0.0, lost.map(at), ServerId(1), at(now));
        assert_eq!(got, may, "{stage:?}, no lease since {lost:?}, at {now}");
    }
    assert!(!may_use(None, &terms(), 0.0, None, ServerId(1), at(0)), "a newborn that knows no line");
}

/// A host that died and is back says that it let go; the process before may live on, cut off, with a lease and then blind:
/// the machine is not let go of before that one is surely over. With one that was a member all the while nothing is waited out.
#[test]
fn a_process_that_may_live_on_under_a_name_is_waited_out() {
    let ms = |ms: i64| Instant::from_micros(1_000_000_000 + ms * 1000);
    let span = Span::from_millis;
    let (w, ballot) = (terms(), Ballot { round: 9, by: 0 });
    let t = fleet_of(3, &w);
    let (servers, members) = (servers(), (0..5).collect());
    let stands = Now {
        servers: &servers,
        members: &members,
        hosts: 3,
        voters: 3,
        served: 0.0,
        coordinator: 2,
        second: 40_000,
    };
    for (incarnation, let_go_at) in [(1, 2500), (2, 6000)] {
        let mut f = MaintenanceCoordinator::new(ballot, None, ms(-20_000));
        // Host 0 is heard last at 2000 in its first incarnation; from then on as the case has it.
        let heard = |f: &mut MaintenanceCoordinator, at: i64, let_go: bool| {
            for host in 0..3 {
                let anew = host == 0 && at > 2000;
                let h = Heard {
                    host: HostId(host),
                    incarnation: if anew { incarnation } else { 1 },
                    knows: f.line().map(|l| l.at),
                    let_go: let_go.then_some(ServerId(1)).into_iter().collect(),
                    member_for: if anew && incarnation == 2 { Span::ZERO } else { span(19_000.0) },
                    served: 0.0,
                };
                f.heard(&t, &w, h, ms(at));
                f.granted(HostId(host), ms(at));
            }
            f.advance(&t, &w, ms(at), &stands, ballot, true);
        };
        heard(&mut f, 0, false);
        let command = FleetCommand { kind: 1, servers: vec![1], shard_away: true, ..FleetCommand::default() };
        assert_eq!(f.command(&t, &w, &command, &servers, ms(0)), Said::Later);
        for at in [500, 1000, 1500, 2000] {
            heard(&mut f, at, false);
        }
        assert_eq!(f.command(&t, &w, &command, &servers, ms(2000)), Said::Taken);
        let stage = |f: &MaintenanceCoordinator| f.line().and_then(|l| l.order(ServerId(1))).map(|o| o.stage);
        assert_eq!(stage(&f), Some(Stage::Draining));
        let mut went = None;
        for at in (2500..12_000).step_by(500) {
            heard(&mut f, at, true);
            went = went.or((stage(&f) > Some(Stage::Draining)).then_some(at));
        }
        // 2000 and a lease and the blind time, or with the first word that it let go and knows the order.
        assert_eq!(went, Some(let_go_at), "life {incarnation}");
    }
}

/// A new coordinator takes over the newest line among so many hosts that remember that any majority has one in it; where too
/// many are newly born for that ever to be, it begins anew and says so.
#[test]
fn a_line_is_taken_over_from_enough_hosts_or_begun_anew() {
    let at = |ms: i64| Instant::from_micros(1_000_000_000 + ms * 1000);
    let (w, servers, members) = (terms(), servers(), (0..5).collect());
    let t = fleet_of(5, &w);
    let stands = Now {
        servers: &servers,
        members: &members,
        hosts: 5,
        voters: 3,
        served: 0.0,
        coordinator: 0,
        second: 40_000,
    };
    let line = |round: u64, stage: Stage| Line {
        at: LineAt { ballot: Ballot { round, by: 0 }, count: 3 },
        orders: vec![order(1, stage, 0)],
        anew: 0,
    };
    // what each host that is heard remembers (by round; 0: newly born); the order's stage as it is taken over, and anew
    type Case = (&'static [u64], Option<(Option<Stage>, bool)>);
    let cases: [Case; 6] = [
        // Its own line alone, or with one more: a majority of others may know a later one.
        (&[4], None),
        (&[4, 4], None),
        (&[4, 4, 0, 0], None),
        (&[4, 4, 6], Some((Some(Stage::Overdue), false))),
        (&[4, 4, 4], Some((Some(Stage::Approved), false))),
        (&[4, 0, 0, 0], Some((Some(Stage::Approved), true))),
    ];
    for (remember, taken) in cases {
        let mut f =
            MaintenanceCoordinator::new(Ballot { round: 9, by: 0 }, Some(line(4, Stage::Approved)), at(0));
        for (host, round) in remember.iter().enumerate() {
            let known = if *round == 6 { line(6, Stage::Offline) } else { line(4, Stage::Approved) };
            let knows = (*round > 0).then_some(known.at);
            let (let_go, member_for) = (BTreeSet::new(), Span::from_millis(60_000.0));
            let h =
                Heard { host: HostId(host as u32), incarnation: 1, knows, let_go, member_for, served: 0.0 };
            f.heard(&t, &w, h, at(0));
            knows.into_iter().for_each(|_| f.told(known.clone()));
        }
        f.advance(&t, &w, at(500), &stands, Ballot { round: 9, by: 0 }, false);
        assert_eq!(f.line(), None, "{remember:?}: before what was granted is over");
        f.advance(&t, &w, at(1000), &stands, Ballot { round: 9, by: 0 }, true);
        let got = f.line().map(|l| (l.order(ServerId(1)).map(|o| o.stage), l.anew != 0));
        // What is cleared may go in the same step.
        let got =
            got.map(|(s, anew)| (s.map(|s| if s == Stage::Draining { Stage::Approved } else { s }), anew));
        assert_eq!(got, taken, "{remember:?}");
    }
}

/// All have let go, but it is told to be out only when most know that; from then on no cancel is taken, by whoever decides.
#[test]
fn out_is_told_when_most_know_that_all_let_go_and_is_not_taken_back() {
    let at = |ms: i64| Instant::from_micros(1_000_000_000 + ms * 1000);
    let (w, servers, members) = (terms(), servers(), (0..5).collect());
    let t = fleet_of(5, &w);
    let stands = Now {
        servers: &servers,
        members: &members,
        hosts: 5,
        voters: 3,
        served: 0.0,
        coordinator: 4,
        second: 40_000,
    };
    let ballot = Ballot { round: 9, by: 0 };
    let before =
        Line { at: LineAt { ballot, count: 3 }, orders: vec![order(1, Stage::Draining, 0)], anew: 0 };
    let mut f = MaintenanceCoordinator::new(ballot, Some(before.clone()), at(0));
    // The first so many know the newest line, the others the one before it; all let go of machine 1.
    let heard = |f: &mut MaintenanceCoordinator, ms: i64, know: u32, old: Option<LineAt>| {
        for host in 0..5 {
            let knows = if host < know { f.line().map(|l| l.at) } else { old };
            let (let_go, member_for) = (BTreeSet::from([ServerId(1)]), Span::from_millis(60_000.0));
            let h = Heard { host: HostId(host), incarnation: 1, knows, let_go, member_for, served: 0.0 };
            f.heard(&t, &w, h, at(ms));
            f.granted(HostId(host), at(ms));
        }
        f.advance(&t, &w, at(ms), &stands, ballot, true);
        f.line().and_then(|l| l.order(ServerId(1))).map(|o| o.stage)
    };
    let command = |kind: u32| FleetCommand { kind, servers: vec![1], ..FleetCommand::default() };
    assert_eq!(
        heard(&mut f, 0, 0, Some(before.at)),
        Some(Stage::Draining),
        "nobody knows the line that was taken over"
    );
    let taken = f.line().map(|l| l.at);
    assert_eq!(heard(&mut f, 100, 5, taken), Some(Stage::Drained));
    assert_eq!(heard(&mut f, 200, 2, taken), Some(Stage::Drained), "two of five know");
    let said = f.command(&t, &w, &command(3), &servers, at(200));
    assert!(matches!(said, Said::Refused(_, why) if why.contains("out already")));
    assert_eq!(heard(&mut f, 300, 3, taken), Some(Stage::Offline));
    assert!(matches!(f.command(&t, &w, &command(3), &servers, at(300)), Said::Refused(..)));
    assert_eq!(f.command(&t, &w, &command(2), &servers, at(300)), Said::Later);
    assert_eq!(heard(&mut f, 350, 3, taken), Some(Stage::Returning));
}
