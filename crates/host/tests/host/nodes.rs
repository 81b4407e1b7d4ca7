//! Nodes and the endpoint list, as a host's core connects to them and learns of their starts and drains.

use crate::rig::{ConnectRequest, Rig, document, ms};
use gullsail_host::core::Input;
use gullsail_protocol::{
    AttemptResult, EndpointListUpdate, ListedEndpoint, ListedState, Message, Outcome,
};
use gullsail_scheduler_api::{Instant, Span};

const START: Instant = Instant::from_micros(1_000_000_000);

fn new_rig() -> Rig {
    Rig::new(&document(&[]), 0, START)
}

/// A connection that breaks and comes back to the same process is no restart; to another, it is, list or no
/// list. What a node may be sent in its first seconds tells the difference.
#[test]
fn only_another_incarnation_is_a_restart() {
    for (incarnation, age, cold, restarts) in [(11, 1e7, false, 0), (99, 0.0, true, 1)] {
        let mut rig = new_rig();
        let client = rig.client();
        let n = rig.node_up("n1", 11, ms(1e7));
        // With an attempt out, or the decisions hear nothing of the break.
        rig.submit(client, 99, "trip");
        rig.handle(Input::Closed(n, "reset".into()));
        assert_eq!(rig.outcomes(client, 99), [Outcome::Failed]);
        rig.pass(ms(50.0));
        let n = rig.node_up("n1", incarnation, ms(age));
        for id in 0..40 {
            rig.submit(client, id, "read");
            rig.pass(ms(5.0));
            if let Some(attempt) = rig.attempts(n).last().cloned() {
                rig.answer(n, attempt.attempt, AttemptResult::Succeeded);
            }
        }
        let sent = rig.attempts(n).len();
        assert_eq!(sent < 20, cold, "{sent} legs to incarnation {incarnation}");
        assert_eq!(rig.core.counts().nodes_restarted, restarts);
    }
}

/// An update of the list that names the first node alone.
fn first_node_listed(state: ListedState, incarnation: u64, age_ms: i64) -> EndpointListUpdate {
    EndpointListUpdate {
        version: 1,
        whole: false,
        entries: vec![ListedEndpoint {
            name: "n1".into(),
            address: "n1".into(),
            shard: 1,
            state: state as i32,
            incarnation,
            age_us: age_ms * 1000,
            ..ListedEndpoint::default()
        }],
    }
}

/// Drains are kept through broken connections, late lists and the node's own word; only another start, told
/// by the list as ready, takes one back.
#[test]
fn a_drain_is_taken_back_by_a_newer_start_only() {
    let entry = first_node_listed;
    use ListedState::*;
    // what is told after the drain, and whether the node may be used then
    let cases = [
        (vec![], false),
        (vec![entry(Ready, 11, 9_999_000)], false),
        (vec![entry(Ready, 12, 5)], true),
        (
            vec![entry(Gone, 11, 9_999_000), entry(Ready, 11, 9_999_000)],
            false,
        ),
    ];
    for (place, (news, may)) in cases.into_iter().enumerate() {
        let mut rig = new_rig();
        let client = rig.client();
        let n = rig.node_up("n1", 11, ms(1e7));
        let list = rig.list_up();
        rig.frame(list, entry(Draining, 11, 1_000_000));
        rig.handle(Input::Closed(n, "reset".into()));
        rig.pass(ms(50.0));
        rig.node_up("n1", 11, ms(1e7 + 50.0));
        news.into_iter().for_each(|n| rig.frame(list, n));
        rig.new_attempts();
        rig.submit(client, 5, "read");
        rig.pass(ms(100.0));
        assert_eq!(!rig.new_attempts().is_empty(), may, "case {place}");
    }
}

/// Connections to the first node are refused, or accepted and silent.
fn six_seconds_without_the_node(rig: &mut Rig, refuses: bool) {
    let mut seen = 0;
    for _ in 0..6000 {
        for place in seen..rig.connects.len() {
            let ConnectRequest { link, address, .. } = rig.connects[place].clone();
            if address == "n1" && refuses {
                rig.handle(Input::ConnectFailed(link, "refused".into()));
            } else if address == "n1" {
                rig.handle(Input::Connected(link));
            }
        }
        seen = rig.connects.len();
        rig.pass(ms(1.0));
    }
}

/// A port that refuses, and one that accepts and stays silent: attempts end as certainly not run within the
/// connect time-out, and tries come ever more seldom, with no end.
#[test]
fn nodes_that_cannot_be_reached_cost_a_bounded_wait() {
    for refuses in [true, false] {
        let mut rig = new_rig();
        let client = rig.client();
        rig.submit(client, 5, "trip");
        six_seconds_without_the_node(&mut rig, refuses);
        assert_eq!(
            rig.outcomes(client, 5),
            [Outcome::Rejected],
            "it never ran, and is told so"
        );
        let mut sent = rig.sent.iter();
        let answer = sent.find(|sent| matches!(sent.frame.message, Message::Answer(_)));
        let waited = answer.unwrap().at - START;
        assert!(waited <= ms(650.0), "{}", waited.millis());
        let connects: Vec<_> = rig
            .connects
            .iter()
            .filter(|request| request.address == "n1")
            .map(|request| request.at)
            .collect();
        assert!(
            (5..=40).contains(&connects.len()),
            "{} tries in six seconds",
            connects.len()
        );
        let gaps: Vec<_> = connects.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(
            gaps.iter().all(|gap| *gap <= ms(500.0 + 1000.0)),
            "no wait past the longest"
        );
        assert!(gaps.last() > gaps.first(), "waits grow");
    }
}

#[test]
fn a_list_may_name_two_nodes_with_one_shard() {
    let mut rig = new_rig();
    let (client, (n1, _)) = (rig.client(), rig.nodes_up());
    let list = rig.list_up();
    let entry = |name: &str, incarnation| ListedEndpoint {
        name: name.into(),
        address: name.into(),
        shard: 1,
        incarnation,
        age_us: 1 << 40,
        ..ListedEndpoint::default()
    };
    rig.frame(
        list,
        EndpointListUpdate {
            version: 1,
            whole: true,
            entries: vec![entry("n1", 11), entry("n9", 19)],
        },
    );
    let n9 = rig.node_greets("n9", 19, Span::from_micros(1 << 40), 2);
    for id in 0..40 {
        rig.submit(client, id, "read");
    }
    for attempt in rig.new_attempts() {
        rig.answer(
            attempt.link,
            attempt.attempt.attempt,
            AttemptResult::Succeeded,
        );
    }
    assert!(
        !rig.attempts(n1).is_empty() && !rig.attempts(n9).is_empty(),
        "both serve the cell"
    );
}

/// The list: a refusal, a silent service and a broken watch are each told to the decisions once, which ask
/// again with growing waits.
#[test]
fn a_lost_list_is_asked_again() {
    let mut rig = new_rig();
    for _ in 0..20_000 {
        let newest = rig.connects.last().cloned();
        if let Some(ConnectRequest { at, link, address }) = newest
            && address == "list"
            && at == rig.now
        {
            rig.handle(Input::ConnectFailed(link, "refused".into()));
        }
        rig.pass(ms(1.0));
    }
    let tries = rig
        .connects
        .iter()
        .filter(|request| request.address == "list")
        .count();
    assert!((4..=9).contains(&tries), "{tries} calls in twenty seconds");
    assert!(rig.core.counts().endpoint_list_losses as usize >= tries - 1);
}
