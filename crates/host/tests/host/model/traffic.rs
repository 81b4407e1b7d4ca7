//! Requests of clients, and answers of nodes on their way to a host.

use super::world::{Mail, World};
use gullsail_host::core::Input;
use gullsail_protocol::{AttemptAnswer, AttemptResult, Handle, Submit};
use gullsail_scheduler_api::{
    AttemptOutcome, Event, ObjectId, PlanId, Request, RequestClassId, RequestId, ShardId, Span,
    VolumeId,
};
use rand::Rng;

impl World {
    /// A client sends a request that is drawn.
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

    /// Mostly that of a first try; some are a next one, or impatient.
    fn draw_timeout_us(&mut self) -> i64 {
        if self.rng.random_bool(0.8) {
            1_500_000
        } else {
            self.rng.random_range(60_000..1_500_000)
        }
    }

    /// Hands a request to a host, which must accept it.
    fn request_arrives(&mut self, host_index: usize, request: Request, submit: Submit) {
        self.model.step();
        // By the host's own clock it came now; it is taken unless it says otherwise.
        self.saw(host_index, &Event::RequestArrived(request));
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

    /// Answers of nodes that are due at a host.
    pub(super) fn deliver_mail(&mut self, host_index: usize) {
        let due: Vec<Mail> = self
            .mail
            .extract_if(.., |mail| mail.host == host_index && mail.at <= self.now)
            .collect();
        for mail in due {
            let host = &self.hosts[host_index];
            if mail.incarnation != host.incarnation || !host.links.contains(&Some(mail.link)) {
                continue;
            }
            self.model.step();
            let outcome = match mail.result {
                AttemptResult::Succeeded => AttemptOutcome::Succeeded,
                AttemptResult::Rejected => AttemptOutcome::Rejected,
                _ => AttemptOutcome::Failed,
            };
            self.ended(host_index, mail.attempt, outcome);
            let answer = AttemptAnswer {
                attempt: mail.attempt,
                result: mail.result as i32,
                ..AttemptAnswer::default()
            };
            self.handle(host_index, Input::Frame(mail.link, answer.into()));
        }
    }
}
