//! The acceptor and the candidate of the coordinator lease, each tested alone.

use gullsail_fleet::FleetConfig;
use gullsail_fleet::ballot::Ballot;
use gullsail_fleet::coordinator_lease::{
    Acceptor, AcceptorReply, CandidateRequest, LeaseCandidate, Proposal,
};
use gullsail_fleet::process_id::ProcessId;
use gullsail_scheduler_api::{HostId, Instant, Span};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

fn ms(at: i64) -> Instant {
    Instant::from_micros(1_000_000_000 + at * 1000)
}

/// Three voters, with a coordinator lease of one second.
fn slow_config() -> FleetConfig {
    FleetConfig {
        fleet: 7,
        hosts: 3,
        lease: Span::from_millis(2000.0),
        drift: 0.001,
        voters: 3,
        budgets: BTreeMap::new(),
        maintenance: None,
    }
}

/// The kind of a candidate's request.
#[derive(Clone, Copy, Debug)]
enum Request {
    Prepare,
    Propose,
}

/// A request to an acceptor, and the expected reply.
struct AcceptorStep {
    request: Request,
    ballot: Ballot,
    process: ProcessId,
    at: i64,
    expected: AcceptorReply,
}

fn process(host: u32, incarnation: u64) -> ProcessId {
    ProcessId {
        host: HostId(host),
        incarnation,
    }
}

/// Requests of two candidates, the first of which restarts, to an acceptor that has just started.
fn acceptor_steps() -> [AcceptorStep; 11] {
    use AcceptorReply::{Accepted, Promised, Recovering, Refused};
    use Request::{Prepare, Propose};
    let step = |request, ballot, process, at, expected| AcceptorStep {
        request,
        ballot,
        process,
        at,
        expected,
    };
    let ballot = |round, by| Ballot { round, by };
    let first = process(1, 21);
    let restarted = process(1, 22);
    let second = process(2, 31);
    let held_by_other = Promised {
        held_by_other: true,
    };
    let promised = Promised {
        held_by_other: false,
    };
    [
        // For two leases a promise of the acceptor's earlier incarnation may still matter.
        step(Prepare, ballot(9, 1), first, 1999, Recovering),
        step(Propose, ballot(9, 1), first, 1999, Recovering),
        step(Prepare, ballot(9, 1), first, 2000, promised),
        step(Prepare, ballot(8, 2), second, 2001, Refused(ballot(9, 1))),
        step(Propose, ballot(8, 2), second, 2001, Refused(ballot(9, 1))),
        step(
            Propose,
            ballot(9, 1),
            restarted,
            2002,
            Refused(ballot(9, 1)),
        ),
        step(Propose, ballot(9, 1), first, 2002, Accepted),
        // Until the lease expires, another candidate gets no promise, and the holder's ballot stays valid.
        step(Prepare, ballot(12, 2), second, 3001, held_by_other),
        step(Propose, ballot(9, 1), first, 3001, Accepted),
        step(Prepare, ballot(12, 2), second, 4000, held_by_other),
        step(Prepare, ballot(12, 2), second, 4001, promised),
    ]
}

#[test]
fn an_acceptor_keeps_its_promises_and_sends_no_replies_while_recovering() {
    let config = slow_config();
    let mut acceptor = Acceptor::new(&config, ms(0));
    for (index, step) in acceptor_steps().into_iter().enumerate() {
        let at = ms(step.at);
        let reply = match step.request {
            Request::Prepare => acceptor.prepare(step.ballot, step.process, at),
            Request::Propose => acceptor.propose(&config, step.ballot, step.process, at),
        };
        assert_eq!(reply, step.expected, "step {index}, {:?}", step.request);
    }
    let first = process(1, 21);
    let second = process(2, 31);
    let ballot = |round, by| Ballot { round, by };
    assert_eq!(
        acceptor.propose(&config, ballot(9, 1), first, ms(4002)),
        AcceptorReply::Refused(ballot(12, 2))
    );
    acceptor.propose(&config, ballot(12, 2), second, ms(4003));
    acceptor.release(first);
    assert!(
        acceptor.unexpired(ms(4004)).is_some(),
        "only the holder releases the lease"
    );
    acceptor.release(second);
    assert!(acceptor.unexpired(ms(4004)).is_none());
}

/// Promises that arrive a lease or more after the request do not count: a voter that has restarted since may have
/// promised another ballot.
#[test]
fn promises_count_only_within_a_lease_of_the_request() {
    let config = slow_config();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (late, proposes) in [(500, true), (997, true), (999, false), (1500, false)] {
        let mut candidate = LeaseCandidate::new(HostId(0), 5, ms(0));
        let request = candidate.advance(&config, None, ms(0), &mut rng);
        let Some(CandidateRequest::Prepare(ballot)) = request else {
            panic!("{request:?}")
        };
        assert_eq!(
            candidate.promised(&config, HostId(0), ballot, false, ms(late)),
            None,
            "one of three is no majority"
        );
        let request = candidate.promised(&config, HostId(1), ballot, false, ms(late));
        assert_eq!(request.is_some(), proposes, "{late}");
        if let Some(CandidateRequest::Propose(proposal)) = request {
            check_held_from_proposal(&mut candidate, &config, proposal, late);
        }
    }
}

/// Checks that the lease counts from the proposal, not from the acceptances.
fn check_held_from_proposal(
    candidate: &mut LeaseCandidate,
    config: &FleetConfig,
    proposal: Proposal,
    proposed_at: i64,
) {
    let accepted_at = ms(proposed_at + 900);
    candidate.accepted(config, HostId(0), proposal, accepted_at);
    assert!(candidate.accepted(config, HostId(2), proposal, accepted_at));
    let held = candidate.held(accepted_at).unwrap();
    assert_eq!(
        held.expires_at,
        ms(proposed_at) + config.held_coordinator_lease()
    );
}
