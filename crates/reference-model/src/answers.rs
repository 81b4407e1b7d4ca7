//! The rules 1 and 2 on answers: one each, in time, and a rejection only where a repeat does no harm.

use crate::rules::Verdict;
use crate::{Breach, Model, ReportedLate};
use gullsail_scheduler_api::{HostId, Idempotency, IdempotencyScope, Instant, RequestId};

impl Model {
    /// Rules 1 and 2 on an answer: the one, in time, and a rejection only where a repeat does no harm.
    pub(crate) fn may_answer(
        &mut self,
        now: Instant,
        host: HostId,
        id: RequestId,
        rejected: bool,
    ) -> Verdict {
        let Some(history) = self.request_history(host, id) else {
            return Err(self.breach(1, now, host, id, "an answer to a transfer that never came"));
        };
        self.tested[0] += 1;
        if let Some(ended) = history.ended {
            let what = format!("a second answer; it ended at {} ms", ended.at.millis());
            return Err(self.breach(1, now, host, id, what));
        }
        if now > history.deadline() + self.parameters.answer_slack {
            return Err(self.breach(1, now, host, id, "the answer comes after the expiry"));
        }
        let classes = self.config(host).map(|config| &config.request_classes);
        let class = classes.and_then(|classes| classes.get(history.request.request_class.0));
        let safe = match class.map(|class| class.idempotency) {
            Some(
                Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: IdempotencyScope::All,
                    ..
                },
            ) => true,
            _ => history.may_have_run().is_none(),
        };
        self.tested[1] += u64::from(!safe);
        if rejected && !safe {
            return Err(self.breach(2, now, host, id, "deferred, though it may have run"));
        }
        Ok(())
    }

    /// Rule 1, on what must have happened: each request has its answer once its time is up.
    ///
    /// # Errors
    /// One that has none; each is reported once.
    pub fn passed(&mut self, now: Instant) -> Result<(), Breach> {
        for host in self.hosts_up() {
            let overdue = self.accepted(host).filter(|accepted| {
                accepted.at + accepted.request.timeout + self.parameters.answer_slack < now
            });
            let late = overdue.map(|accepted| ReportedLate {
                host,
                request: accepted.request.id,
                arrived: accepted.at,
            });
            let late: Vec<_> = late
                .filter(|late| !self.reported_late.contains(late))
                .collect();
            for ReportedLate { request, .. } in late {
                let Some(history) = self.request_history(host, request) else {
                    continue;
                };
                self.reported_late.push(ReportedLate {
                    host,
                    request,
                    arrived: history.arrived,
                });
                if history.ended.is_none() {
                    return Err(self.breach(
                        1,
                        now,
                        host,
                        request,
                        "its time is up and it has no answer",
                    ));
                }
            }
        }
        Ok(())
    }
}
