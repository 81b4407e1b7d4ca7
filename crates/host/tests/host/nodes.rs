//! How a host's core connects to nodes and to the endpoint list, and handles starts and drains of nodes.

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

/// A node that reconnects as the same process did not restart; as another process it did, also without an update of
/// the endpoint list. The number of attempts sent shows whether slow start applies.
#[test]
fn only_another_incarnation_is_a_restart() {
    for (incarnation, age, cold, restarts) in [(11, 1e7, false, 0), (99, 0.0, true, 1)] {
        let mut rig = new_rig();
        let client = rig.client();
        let n = rig.node_up("n1", 11, ms(1e7));
        // With an attempt in flight, the scheduler learns of the lost connection.
        rig.submit(client, 99, "trip");
        rig.handle(Input::Closed(n, "reset".into()));
        assert_eq!(rig.outcomes(client, 99), [Outcome::Failed]);
        rig.run_for(ms(50.0));
        let n = rig.node_up("n1", incarnation, ms(age));
        for id in 0..40 {
            rig.submit(client, id, "read");
            rig.run_for(ms(5.0));
            if let Some(attempt) = rig.attempts(n).last().cloned() {
                rig.answer(n, attempt.attempt, AttemptResult::Succeeded);
            }
        }
        let sent = rig.attempts(n).len();
        assert_eq!(
            sent < 20,
            cold,
            "{sent} attempts to incarnation {incarnation}"
        );
        assert_eq!(rig.core.counts().nodes_restarted, restarts);
    }
}

/// Guards against a node's second answer to an attempt that is taken for the answer to the next one: each answer names its
/// attempt.
#[test]
fn a_second_answer_does_not_end_the_next_attempt() {
    for result in [AttemptResult::Succeeded, AttemptResult::Rejected] {
        let mut rig = new_rig();
        let client = rig.client();
        let node = rig.node_up("n1", 11, ms(1e7));
        rig.submit(client, 1, "trip");
        let first = rig.attempts(node).last().unwrap().attempt;
        rig.answer(node, first, result);
        if result == AttemptResult::Succeeded {
            rig.submit(client, 2, "trip");
        }
        rig.run_for(ms(50.0));
        let request = if result == AttemptResult::Succeeded {
            2
        } else {
            1
        };
        assert_eq!(rig.attempts(node).len(), 2, "{result:?}");
        rig.answer(node, first, result);
        rig.run_for(ms(50.0));
        assert_eq!(rig.attempts(node).len(), 2, "{result:?}: sent once");
        assert!(rig.outcomes(client, request).is_empty(), "{result:?}");
        let second = rig.attempts(node).last().unwrap().attempt;
        rig.answer(node, second, AttemptResult::Succeeded);
        assert_eq!(
            rig.outcomes(client, request),
            [Outcome::Succeeded],
            "{result:?}"
        );
    }
}

/// Returns an update of the endpoint list that names only the first node.
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

/// A drain lasts through lost connections, late updates of the endpoint list and the node's first frames. It ends only
/// when the endpoint list reports the node as ready with a newer start.
#[test]
fn only_a_newer_start_ends_a_drain() {
    let entry = first_node_listed;
    use ListedState::*;
    // updates after the drain, whether the node may be used then
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
        rig.run_for(ms(50.0));
        rig.node_up("n1", 11, ms(1e7 + 50.0));
        news.into_iter().for_each(|n| rig.frame(list, n));
        rig.new_attempts();
        rig.submit(client, 5, "read");
        rig.run_for(ms(100.0));
        assert_eq!(!rig.new_attempts().is_empty(), may, "case {place}");
    }
}

/// For six seconds, connections to the first node are refused, or accepted without a first frame.
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
        rig.run_for(ms(1.0));
    }
}

/// The node's port refuses connections, or accepts them and sends nothing. The request is rejected after a bounded
/// wait, and the host keeps trying to connect, with a growing backoff.
#[test]
fn requests_to_an_unreachable_node_wait_for_a_bounded_time() {
    for refuses in [true, false] {
        let mut rig = new_rig();
        let client = rig.client();
        rig.submit(client, 5, "trip");
        six_seconds_without_the_node(&mut rig, refuses);
        assert_eq!(
            rig.outcomes(client, 5),
            [Outcome::Rejected],
            "the request was not sent, so it is rejected and not failed"
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
            "{} attempts to connect in six seconds",
            connects.len()
        );
        let gaps: Vec<_> = connects.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(
            gaps.iter().all(|gap| *gap <= ms(500.0 + 1000.0)),
            "no backoff is longer than the longest"
        );
        assert!(gaps.last() > gaps.first(), "the backoff grows");
    }
}

#[test]
fn two_nodes_with_one_shard_both_get_reads() {
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
    let n9 = rig.node_identifies("n9", 19, Span::from_micros(1 << 40), 2);
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
        "both serve the shard"
    );
}

/// Each failure to connect to the endpoint list is reported to the scheduler once, which queries it again with a
/// growing backoff.
#[test]
fn an_unavailable_endpoint_list_is_queried_again_with_backoff() {
    let mut rig = new_rig();
    for _ in 0..20_000 {
        let newest = rig.connects.last().cloned();
        if let Some(ConnectRequest { at, link, address }) = newest
            && address == "list"
            && at == rig.now
        {
            rig.handle(Input::ConnectFailed(link, "refused".into()));
        }
        rig.run_for(ms(1.0));
    }
    let tries = rig
        .connects
        .iter()
        .filter(|request| request.address == "list")
        .count();
    assert!(
        (4..=9).contains(&tries),
        "{tries} attempts in twenty seconds"
    );
    assert!(rig.core.counts().endpoint_list_losses as usize >= tries - 1);
}
