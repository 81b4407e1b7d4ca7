//! What the ends of attempts and requests mean for the tables of requests and volumes: queues that are left,
//! entries that are closed or forgotten. Nothing is decided here; `admission`, `attempts` and
//! `demand_reports` call it.

use super::request_scheduler::RequestScheduler;
use gullsail_scheduler_api::{AttemptEnd, RequestId};

impl RequestScheduler {
    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.get_mut(&id) else {
            return;
        };
        let Some(key) = open.queue.take() else { return };
        if !self.queues.remove(key, open.group(), open.waiting()) || open.attempts_sent > 0 {
            return;
        }
        if let Some(volume) = self.volumes.get_mut(open.request.volume) {
            volume.bucket_mut().remove_waiting(open.request.units);
        }
    }

    /// The client has its answer or is gone; the entry stays until no attempt is in flight.
    pub(super) fn close(&mut self, id: RequestId) {
        self.leave_queue(id);
        let Some(open) = self.requests.open.get_mut(&id) else {
            return;
        };
        open.closed = true;
        if open.in_flight > 0 {
            return;
        }
        let object = open.request.object;
        if let Some(order) = self.requests.object_order(object) {
            order.requests.retain(|other| *other != id);
        }
        self.requests.open.remove(&id);
    }

    /// Notes what came of an attempt at its request, its volume and its object.
    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let Some(open) = self.requests.open.get_mut(&end.id) else {
            return;
        };
        let volume = self.volumes.get_mut(open.request.volume);
        if let (Some(used), Some(volume)) = (end.used, volume) {
            volume.record_fleet_usage(used, &self.config);
        }
        open.in_flight = open.in_flight.saturating_sub(1);
        if end.outcome.never_ran() {
            open.possible_run = open.possible_run.filter(|run| run.attempt != end.attempt);
        }
        let object = open.request.object;
        if let (true, Some(order)) = (
            end.outcome.may_still_run(),
            self.requests.object_order(object),
        ) {
            order.settled_at = order.settled_at.max(self.now + self.config.order_settle);
        }
    }
}
