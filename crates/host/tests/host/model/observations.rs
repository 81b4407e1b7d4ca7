//! Passes inputs to the hosts, and reports to the reference model what the hosts receive and send.

use super::world::{InFlightAttempt, NAMES, World};
use crate::rig::SentFrame;
use gullsail_host::core::{ConnectionId, Input};
use gullsail_protocol::{Answer, Attempt, Message, Outcome};
use gullsail_reference_model::Breach;
use gullsail_scheduler_api::{
    Action, AttemptEnd, AttemptOutcome, Event, HostId, Instant, NodeId, RequestId, Span, ZoneId,
};

impl World {
    /// Passes an input to a host, then reports to the model the frames that it sent.
    pub(super) fn handle(&mut self, host_index: usize, input: Input) {
        self.hosts[host_index].rig.now = self.now;
        self.hosts[host_index].rig.handle(input);
        self.report_sent_frames(host_index);
    }

    pub(super) fn report_event(&mut self, host_index: usize, event: &Event) {
        self.model.saw(self.now, HostId(host_index as u32), event);
    }

    pub(super) fn report_attempt_end(
        &mut self,
        host_index: usize,
        attempt: u64,
        outcome: AttemptOutcome,
    ) {
        let Some(out) = self.hosts[host_index].out.remove(&attempt) else {
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
        self.report_event(host_index, &Event::AttemptEnded(end));
    }

    /// Reports to the model the frames that a host sent since the last call.
    pub(super) fn report_sent_frames(&mut self, host_index: usize) {
        while self.hosts[host_index].reported < self.hosts[host_index].rig.sent.len() {
            let sent = self.hosts[host_index].rig.sent[self.hosts[host_index].reported].clone();
            self.hosts[host_index].reported += 1;
            let found = self.report_sent_frame(host_index, sent);
            self.breaches.extend(found.err());
        }
    }

    fn report_sent_frame(&mut self, host_index: usize, sent: SentFrame) -> Result<(), Breach> {
        let SentFrame { at, link, frame } = sent;
        match frame.message {
            Message::Attempt(attempt) => self.attempt_sent(host_index, at, link, &attempt),
            Message::Cancel(cancel) => {
                self.report_attempt_end(host_index, cancel.attempt, AttemptOutcome::TimedOut);
                Ok(())
            }
            Message::Answer(answer) => self.answer_sent(host_index, at, &answer),
            _ => Ok(()),
        }
    }

    fn attempt_sent(
        &mut self,
        host_index: usize,
        at: Instant,
        link: ConnectionId,
        sent: &Attempt,
    ) -> Result<(), Breach> {
        let id = RequestId(sent.idempotency_key[1..].parse().unwrap());
        let mut links = self.hosts[host_index].links.iter();
        let n = links.position(|other| *other == Some(link)).unwrap();
        let count = self.hosts[host_index].attempts.entry(id).or_default();
        let out = InFlightAttempt {
            request: id,
            number: *count,
            link,
        };
        *count += 1;
        self.hosts[host_index].out.insert(sent.attempt, out);
        let action = Action::StartAttempt {
            id,
            node: gullsail_configuration::node_id(NAMES[n]),
            time_out: None,
            send_before: None,
        };
        let found = self.model.did(at, HostId(host_index as u32), &action);
        self.node_receives(host_index, n, link, sent);
        found
    }

    fn answer_sent(
        &mut self,
        host_index: usize,
        at: Instant,
        answer: &Answer,
    ) -> Result<(), Breach> {
        let id = RequestId(answer.id);
        let action = match Outcome::try_from(answer.outcome) {
            Ok(Outcome::Rejected) => Action::Reject {
                id,
                retry_after: None,
            },
            Ok(Outcome::Failed) => Action::Fail { id },
            _ => return Ok(()),
        };
        self.model.did(at, HostId(host_index as u32), &action)
    }
}
