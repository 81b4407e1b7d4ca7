//! A client's retry that arrives after later requests on the same object.
//!
//! Requests on one object run one at a time, in their order of arrival at this host. A client's retry counts as
//! a new request. A rejection may be given out of order. The test guards against a retry that is sent while the
//! two requests that arrived before it are still open and are rejected later. Recordings of `budget-storm` under
//! load appear to show it. The test runs every order of the events that close the two requests, with and
//! without a stall of the process.

use crate::common::{Host, at, config, ms, node, request};
use gullsail::api::{
    Action, AttemptEnd, AttemptOutcome, Event, NodeId, ObjectId, Request, RequestId, ZoneId,
};
use std::collections::BTreeSet;

/// The client's retry of request 1, which was rejected.
const RETRY: u64 = 4;
/// The two requests that arrived between request 1 and its retry, in order of arrival.
const EARLIER: [u64; 2] = [2, 3];
/// All requests that are open after the arrival of the retry, in order of arrival.
const OPEN: [u64; 3] = [2, 3, RETRY];

/// How long before the retry the [`EARLIER`] requests arrived, in ms. Their objective deadlines, 400 ms after arrival,
/// precede that of the retry by as much.
const AHEAD_OF_RETRY: i64 = 250;
/// Length in ms of a stall after which the objective deadlines of the [`EARLIER`] requests have passed and that of
/// the retry has not.
const STALL: i64 = 200;

/// An event that may close a request, or the passing of time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Served(u64),
    Failed(u64),
    TimedOut(u64),
    ClientLeaves(u64),
    /// The objective deadlines of the [`EARLIER`] requests pass while the process runs.
    ObjectivesPass,
    /// The process stalls: all later events are delivered together at the end.
    Stall,
}

/// A host with the requests on one object.
struct Simulation {
    host: Host,
    /// Requests that are closed.
    closed: BTreeSet<u64>,
    /// Requests that were sent, in order.
    sent: Vec<u64>,
}

fn arrival(id: u64) -> Event {
    Event::RequestArrived(Request {
        object: Some(ObjectId(3)),
        ..request(id, 2)
    })
}

fn attempt_end(id: u64, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id: RequestId(id),
        attempt: 0,
        node: NodeId(1),
        outcome,
        latency: ms(5),
        finished: outcome == AttemptOutcome::Succeeded,
        used: None,
        zone: ZoneId(0),
        bytes: 0.0,
    })
}

impl Simulation {
    /// A host that has rejected request 1 and then received the two requests and the retry, in this order.
    fn new() -> Simulation {
        let mut config = config();
        config.order_settle = ms(50);
        config.request_classes[2].in_order = true;
        let host = Host::new(config, Vec::new(), at(1000));
        let mut simulation = Simulation {
            host,
            closed: BTreeSet::new(),
            sent: Vec::new(),
        };
        // Without a node no attempt can be sent, so request 1 is rejected.
        simulation.deliver(vec![arrival(1)]);
        simulation.advance(3000);
        assert_eq!(simulation.host.answers(1), ["rejected"]);
        let entries = vec![node(1, 0)];
        let update_kind = gullsail::api::UpdateKind::Delta;
        simulation.deliver(vec![Event::EndpointList {
            update_kind,
            entries,
        }]);
        for id in EARLIER {
            simulation.deliver(vec![arrival(id)]);
        }
        simulation.advance(AHEAD_OF_RETRY);
        simulation.deliver(vec![arrival(RETRY)]);
        simulation
    }

    fn deliver(&mut self, events: Vec<Event>) {
        let actions = self.host.deliver_all(events);
        self.check(&actions);
    }

    fn advance(&mut self, millis: i64) {
        for _ in 0..millis {
            let actions = self.host.stall(ms(1), Vec::new());
            self.check(&actions);
        }
    }

    /// Checks that each request is sent only after the earlier requests on the object are closed, by events or
    /// by earlier actions.
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Reject { id, .. } | Action::Fail { id } => _ = self.closed.insert(id.0),
                Action::StartAttempt { id, .. } => self.check_sent(id.0),
                _ => {}
            }
        }
    }

    fn check_sent(&mut self, id: u64) {
        let earlier = OPEN.iter().take_while(|open| **open != id);
        for earlier in earlier {
            assert!(
                self.closed.contains(earlier),
                "request {id} sent before {earlier} is closed"
            );
        }
        self.sent.push(id);
    }

    /// The event of a step; `None` if it cannot occur in the request's state.
    fn event(&mut self, step: Step) -> Option<Event> {
        let (id, event) = match step {
            Step::Served(id) => (id, attempt_end(id, AttemptOutcome::Succeeded)),
            Step::Failed(id) => (id, attempt_end(id, AttemptOutcome::Failed)),
            Step::TimedOut(id) => (id, attempt_end(id, AttemptOutcome::TimedOut)),
            Step::ClientLeaves(id) => (id, Event::ClientDisconnected(RequestId(id))),
            Step::ObjectivesPass | Step::Stall => return None,
        };
        if self.closed.contains(&id) {
            return None;
        }
        if step == Step::ClientLeaves(id) {
            let is_waiting = !self.sent.contains(&id);
            // If the request was sent, its attempt runs to its end.
            is_waiting.then(|| self.closed.insert(id));
            return is_waiting.then_some(event);
        }
        let is_sent = self.sent.contains(&id);
        if is_sent && step == Step::Served(id) {
            self.closed.insert(id);
        }
        is_sent.then_some(event)
    }

    /// Runs the steps, and then enough time for every request to be closed.
    fn run(&mut self, steps: &[Step]) {
        let mut stalled = false;
        let mut delayed_events = Vec::new();
        for step in steps {
            match step {
                Step::Stall => stalled = true,
                Step::ObjectivesPass => self.advance(STALL),
                other => {
                    let Some(event) = self.event(*other) else {
                        continue;
                    };
                    if stalled {
                        delayed_events.push(event);
                    } else {
                        self.deliver(vec![event]);
                    }
                }
            }
        }
        if stalled {
            let actions = self.host.stall(ms(STALL), delayed_events);
            self.check(&actions);
        }
        self.advance(3500);
    }
}

/// All permutations of the steps.
fn permutations(steps: &[Step]) -> Vec<Vec<Step>> {
    if steps.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for index in 0..steps.len() {
        let mut others = steps.to_vec();
        let first = others.remove(index);
        for mut tail in permutations(&others) {
            tail.insert(0, first);
            all.push(tail);
        }
    }
    all
}

#[test]
fn a_retry_is_sent_only_after_earlier_requests_on_its_object_are_closed() {
    let [second, third] = EARLIER;
    let ends = |id| {
        [
            Step::Served(id),
            Step::Failed(id),
            Step::TimedOut(id),
            Step::ClientLeaves(id),
        ]
    };
    let mut retries_sent = 0;
    for end_of_second in ends(second) {
        for end_of_third in ends(third) {
            for time_step in [Step::Stall, Step::ObjectivesPass] {
                for steps in permutations(&[end_of_second, end_of_third, time_step]) {
                    let mut simulation = Simulation::new();
                    simulation.run(&steps);
                    retries_sent += usize::from(simulation.sent.contains(&RETRY));
                }
            }
        }
    }
    // The check is meaningful only if the retry is often sent.
    assert!(retries_sent > 20, "{retries_sent}");
}
