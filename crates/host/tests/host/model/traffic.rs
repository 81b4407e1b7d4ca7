//! Requests of clients, and the delivery of nodes' answers.

use super::world::{NodeAnswer, World};
use gullsail_host::core::Input;
use gullsail_protocol::{AttemptAnswer, AttemptResult, Handle, Submit};
use gullsail_scheduler_api::{
    AttemptOutcome, Event, ObjectId, PlanId, Request, RequestClassId, RequestId, ShardId, Span,
    VolumeId,
};
use rand::Rng;

impl World {
    /// A client sends a random request.
    pub(super) fn arrival(&mut self, host_index: usize) {
        self.last += 1;
        let id = self.last;
        let kind = self.rng.random_range(0..3);
        let held = self.rng.random_bool(0.5);
        let shard = self.rng.random_range(1..=2);
        let key = self.rng.random_range(0..4u64);
        let units = self.rng.random_range(1.0..4.0);
        let handle =
            (kind == 0 || self.rng.random_bool(0.7)).then_some(Handle { shard, object: id });
        let submit = Submit {
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
            idempotency_key: format!("m{id}"),
            repeat: 0,
            timeout_us: self.draw_timeout_us(),
        };
        let request = Request {
            id: RequestId(id),
            request_class: RequestClassId(kind),
            plan: PlanId(usize::from(held)),
            volume: VolumeId(u64::from(held)),
            units,
            shard: handle.map(|handle| ShardId(handle.shard)),
            object: (kind == 2).then_some(ObjectId(key)),
            timeout: Span::from_micros(submit.timeout_us),
            volume_hosts: 2,
            ..Request::default()
        };
        self.request_arrives(host_index, request, submit);
    }

    /// Draws a timeout. Some are shorter, as of a client that retries or is impatient.
    fn draw_timeout_us(&mut self) -> i64 {
        if self.rng.random_bool(0.8) {
            1_500_000
        } else {
            self.rng.random_range(60_000..1_500_000)
        }
    }

    /// Passes a request to a host, which must accept it.
    fn request_arrives(&mut self, host_index: usize, request: Request, submit: Submit) {
        self.model.step();
        // The model counts the request as accepted now, so the host must not refuse it.
        self.report_event(host_index, &Event::RequestArrived(request));
        let client = self.hosts[host_index].client;
        let before = self.hosts[host_index].rig.core.counts().not_taken;
        self.handle(host_index, Input::Frame(client, submit.into()));
        assert_eq!(
            self.hosts[host_index].rig.core.counts().not_taken,
            before,
            "at {} ms",
            self.now.millis()
        );
    }

    /// Delivers the nodes' answers that are due at a host. Answers to an earlier incarnation of the host, or on a
    /// connection that was lost, are dropped.
    pub(super) fn deliver_answers(&mut self, host_index: usize) {
        let due: Vec<NodeAnswer> = self
            .answers
            .extract_if(.., |node_answer| {
                node_answer.host == host_index && node_answer.at <= self.now
            })
            .collect();
        for node_answer in due {
            let host = &self.hosts[host_index];
            if node_answer.incarnation != host.incarnation
                || !host.links.contains(&Some(node_answer.link))
            {
                continue;
            }
            self.model.step();
            let outcome = match node_answer.result {
                AttemptResult::Succeeded => AttemptOutcome::Succeeded,
                AttemptResult::Rejected => AttemptOutcome::Rejected,
                _ => AttemptOutcome::Failed,
            };
            self.report_attempt_end(host_index, node_answer.attempt, outcome);
            let answer = AttemptAnswer {
                attempt: node_answer.attempt,
                result: node_answer.result as i32,
                ..AttemptAnswer::default()
            };
            self.handle(host_index, Input::Frame(node_answer.link, answer.into()));
        }
    }
}
