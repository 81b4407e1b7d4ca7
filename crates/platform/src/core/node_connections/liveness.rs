//! Signs that a node's process was not restarted when a connection to it was lost. The scheduler learns of it
//! by an endpoint list that the node reports of itself.

use super::super::Core;
use super::{Node, UnexplainedLoss};
use gullsail_scheduler_api::{Event, Instant, NodeId, Span, UpdateKind};

/// A response that comes so long after a loss, on a connection that was established before it, was not in
/// flight then.
const MAX_IN_FLIGHT: Span = Span::from_micros(100_000);
/// No process ends and another takes its place in less time;
const MIN_RESTART: Span = Span::from_micros(250_000);
/// and no server goes away, comes back and serves in less than this. So a loss between two signs of life that
/// are that close was no restart.
const MIN_RETURN: Span = Span::from_micros(2_000_000);
/// Discovery reports a restart within this time.
const DISCOVERY_DELAY: Span = Span::from_micros(6_000_000);

impl UnexplainedLoss {
    /// The sign comes on a connection that was established before the loss, and was not in flight at that
    /// time.
    fn survived_by(
        &self,
        established_at: Instant,
        written_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        established_at < self.at
            && written_at.is_some_and(|written| written > self.at || now - self.at >= MAX_IN_FLIGHT)
    }

    /// The sign comes so soon after the loss, and the loss so soon after the sign before, that no restart
    /// fits between.
    fn too_short_for_restart(&self, now: Instant) -> bool {
        now - self.at < MIN_RESTART
            && self
                .last_alive
                .is_some_and(|alive| self.at - alive < MIN_RETURN)
    }
}

impl Core {
    /// A connection to the node was established, or a response to a message came that was written at
    /// `written_at`.
    pub(super) fn node_alive(
        &mut self,
        node: NodeId,
        established_at: Instant,
        written_at: Option<Instant>,
    ) {
        let now = self.now;
        let Some(n) = self.nodes.nodes.get_mut(&node) else {
            return;
        };
        n.last_alive = Some(now);
        let Some(loss) = n.unexplained_loss else {
            return;
        };
        if loss.survived_by(established_at, written_at, now) || loss.too_short_for_restart(now) {
            self.rule_out_restart(node);
        }
    }

    /// An earlier loss that is unexplained stays in place of this one, for as long as it matters to slow
    /// start.
    pub(super) fn record_loss(&mut self, node: NodeId) {
        let now = self.now;
        let ramp = self.config.slow_start.ramp;
        let Some(n) = self.nodes.nodes.get_mut(&node) else {
            return;
        };
        if n.unexplained_loss
            .is_none_or(|earlier| now - earlier.at >= ramp)
        {
            n.unexplained_loss = Some(UnexplainedLoss {
                at: now,
                last_alive: n.last_alive,
            });
        }
    }

    /// The scheduler learns that the node's process is as old as discovery says.
    fn rule_out_restart(&mut self, node: NodeId) {
        let Some(n) = self.nodes.nodes.get_mut(&node).filter(|n| n.is_ready()) else {
            return;
        };
        n.unexplained_loss = None;
        self.metrics.restarts_ruled_out += 1;
        self.events.push(Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries: vec![n.listed.endpoint.clone()],
        });
    }

    /// Discovery has answered: by now it would have reported a restart at any loss that is older than its
    /// delay.
    pub(in super::super) fn rule_out_old_restarts(&mut self) {
        let now = self.now;
        let old = |n: &Node| {
            n.unexplained_loss
                .is_some_and(|loss| now - loss.at >= DISCOVERY_DELAY)
        };
        let old: Vec<_> = self
            .nodes
            .nodes
            .iter()
            .filter(|(_, n)| old(n))
            .map(|(id, _)| *id)
            .collect();
        for node in old {
            self.rule_out_restart(node);
        }
    }
}
