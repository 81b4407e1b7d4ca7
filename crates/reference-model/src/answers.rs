//! Rules 1 and 2 as they apply to answers.

use crate::rules::Verdict;
use crate::{Breach, Model, ReportedLate};
use gullsail_scheduler_api::{HostId, Idempotency, IdempotencyScope, Instant, RequestId};

impl Model {
    /// Rule 1: a request gets one answer, in time. Rule 2: a request is rejected only if the client may safely repeat it,
    /// since it never ran or any node recognises the repeat.
    pub(crate) fn may_answer(
        &mut self,
        now: Instant,
        host: HostId,
        id: RequestId,
        rejected: bool,
    ) -> Verdict {
        let Some(history) = self.request_history(host, id) else {
            return Err(self.breach(
                1,
                now,
                host,
                id,
                "an answer to a request that never arrived",
            ));
        };
        self.tested[0] += 1;
        if let Some(ended) = history.ended {
            let what = format!("a second answer; it ended at {} ms", ended.at.millis());
            return Err(self.breach(1, now, host, id, what));
        }
        if now > history.deadline() + self.parameters.answer_slack {
            return Err(self.breach(1, now, host, id, "the answer comes after the deadline"));
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
            return Err(self.breach(2, now, host, id, "rejected, though it may have run"));
        }
        Ok(())
    }

    /// Rule 1: each request has an answer by its deadline. Checks all requests whose deadline is over at `now`.
    ///
    /// # Errors
    /// A request has no answer. Each such request is reported once.
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
                    return Err(self.breach(1, now, host, request, "no answer by its deadline"));
                }
            }
        }
        Ok(())
    }
}
