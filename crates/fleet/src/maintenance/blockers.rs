//! Checks whether an approved order can start to drain now, and if not, why. Called by the selection of the next
//! server; it changes no state.

use super::config::MaintenanceConfig;
use super::order::{Order, Stage};
use super::order_book::OrderBook;
use super::server::{ServerId, ServerObservation, ServerRole};
use super::snapshot::{CAPACITY_TOLERANCE, FleetSnapshot};
use std::collections::BTreeSet;

/// The reason why an order cannot start to drain now.
pub struct Blocker {
    /// Whether the order waits for servers that are away or for load to fall. If so, a later order may have to leave
    /// the capacity that becomes free to this order.
    pub by_others: bool,
    /// The reason, for operators.
    pub reason: String,
}

impl Blocker {
    fn by_itself(reason: impl Into<String>) -> Option<Blocker> {
        Some(Blocker {
            by_others: false,
            reason: reason.into(),
        })
    }

    fn by_others(reason: impl Into<String>) -> Option<Blocker> {
        Some(Blocker {
            by_others: true,
            reason: reason.into(),
        })
    }
}

/// Returns why an order cannot start to drain now; `None`: it can.
pub fn blocker(
    order_book: &OrderBook,
    config: &MaintenanceConfig,
    snapshot: &FleetSnapshot,
    order: &Order,
) -> Option<Blocker> {
    let Some(seen) = snapshot.servers.get(&order.server) else {
        return Blocker::by_itself("the server is no longer in the configuration");
    };
    let check = Check {
        order_book,
        config,
        snapshot,
        order,
        seen,
        failed: !snapshot.is_well(seen),
    };
    check
        .quiet_hours()
        .or_else(|| check.coordinator_drains_last())
        .or_else(|| check.too_many_away())
        .or_else(|| match seen.role {
            ServerRole::Host(host) => check.quorum(host),
            ServerRole::Node { shard, can, .. } => {
                check.shard(shard).or_else(|| check.capacity(can))
            }
        })
}

/// An order and the state that it is checked against.
struct Check<'a> {
    order_book: &'a OrderBook,
    config: &'a MaintenanceConfig,
    snapshot: &'a FleetSnapshot<'a>,
    order: &'a Order,
    /// The observation of the order's server.
    seen: &'a ServerObservation,
    /// Whether the server has failed already, so that taking it offline removes no capacity.
    failed: bool,
}

/// A storage node in the sums of capacities.
struct Node {
    shard: i64,
    /// In units a second.
    capacity: f64,
    /// Whether the node counts at all; see [`exists`].
    exists: bool,
    /// Whether the node would be in service while the order's server is offline.
    stays: bool,
}

impl Check<'_> {
    /// Whether a server other than the order's is away by its order.
    fn is_ordered_away(&self, server: ServerId) -> bool {
        server != self.order.server
            && self
                .order_book
                .order(server)
                .is_some_and(|other| other.stage.is_away())
    }

    /// Whether a server other than the order's is away, by its order or because it failed.
    fn is_away(&self, server: ServerId, seen: &ServerObservation) -> bool {
        self.is_ordered_away(server)
            || (server != self.order.server && !self.snapshot.is_well(seen))
    }

    fn quiet_hours(&self) -> Option<Blocker> {
        let second = self.snapshot.second_of_day;
        let (from, to) = self
            .config
            .quiet_hours
            .iter()
            .find(|(from, to)| is_within(*from, *to, second))?;
        Blocker::by_itself(format!(
            "quiet hours: no server goes between {} and {}",
            clock_time(*from),
            clock_time(*to)
        ))
    }

    fn coordinator_drains_last(&self) -> Option<Blocker> {
        let is_coordinator = self.seen.role == ServerRole::Host(self.snapshot.coordinator);
        let is_ahead =
            |other: &Order| other.server != self.order.server && other.stage <= Stage::Draining;
        if is_coordinator && self.order_book.open().any(is_ahead) {
            return Blocker::by_itself("this host is the coordinator and goes last");
        }
        None
    }

    /// Whether a server counts towards the limits of servers away. If the order's server has failed, it is away
    /// already, so only servers away by their orders count, not others that failed.
    fn counts_as_away(&self, server: ServerId, seen: &ServerObservation) -> bool {
        if self.failed {
            self.is_ordered_away(server)
        } else {
            exists(seen) && self.is_away(server, seen)
        }
    }

    fn too_many_away(&self) -> Option<Blocker> {
        let servers = self.snapshot.servers.iter();
        let away = servers.filter(|(server, seen)| self.counts_as_away(**server, seen));
        let away: Vec<&ServerObservation> = away.map(|(_, seen)| seen).collect();
        let in_zone = away
            .iter()
            .filter(|other| other.zone == self.seen.zone)
            .count();
        let in_pool = away
            .iter()
            .filter(|other| same_pool(other, self.seen))
            .count();
        let limits = [
            Limit {
                most: self.config.at_once,
                count: away.len(),
                scope: "in all",
            },
            Limit {
                most: self.config.in_zone,
                count: in_zone,
                scope: "in its zone",
            },
            Limit {
                most: self.config.in_pool,
                count: in_pool,
                scope: "in its pool",
            },
        ];
        let reached = limits
            .into_iter()
            .find(|limit| limit.count as u32 >= limit.most)?;
        let Limit { most, count, scope } = reached;
        Blocker::by_others(format!("{count} of {most} away {scope}"))
    }

    /// Checks that majorities would remain without `host`. Without a majority of voters no coordinator is elected;
    /// without a majority of hosts no order takes effect.
    fn quorum(&self, host: u32) -> Option<Blocker> {
        if self.failed {
            return None;
        }
        let ordered_away = self
            .snapshot
            .servers
            .iter()
            .filter(|(server, _)| self.is_ordered_away(**server));
        let ordered_away: BTreeSet<u32> =
            ordered_away.filter_map(|(_, seen)| host_of(seen)).collect();
        let members = self.snapshot.members.iter();
        let staying: Vec<u32> = members
            .copied()
            .filter(|member| *member != host && !ordered_away.contains(member))
            .collect();
        let voters = staying
            .iter()
            .filter(|host| **host < self.snapshot.voters)
            .count() as u32;
        let too_few_hosts = staying.len() as u32 <= self.snapshot.hosts / 2;
        if too_few_hosts || voters <= self.snapshot.voters / 2 {
            return Blocker::by_others("the remaining hosts would have no quorum");
        }
        None
    }

    fn nodes(&self) -> impl Iterator<Item = Node> {
        self.snapshot.servers.iter().filter_map(|(server, seen)| {
            let ServerRole::Node { shard, can, .. } = seen.role else {
                return None;
            };
            let stays = *server != self.order.server && !self.is_away(*server, seen);
            Some(Node {
                shard,
                capacity: can,
                exists: exists(seen),
                stays,
            })
        })
    }

    /// Checks that enough capacity of the shard's holders would remain, and at least one holder.
    fn shard(&self, shard: i64) -> Option<Blocker> {
        if self.order.shard_away {
            return None;
        }
        let holders = || {
            self.nodes()
                .filter(|node| node.shard == shard && node.exists)
        };
        let all: f64 = holders().map(|node| node.capacity).sum();
        let remaining: f64 = holders()
            .filter(|node| node.stays)
            .map(|node| node.capacity)
            .sum();
        if remaining < (self.config.keep_shard * all).max(f64::MIN_POSITIVE) {
            return Blocker::by_itself(format!("shard {shard} would have too few holders left"));
        }
        None
    }

    /// Checks that without the order's server enough capacity of all nodes would remain, also for the present load.
    /// `removed` is the server's capacity in units a second; it is only shown in the reason.
    fn capacity(&self, removed: f64) -> Option<Blocker> {
        if self.failed {
            return None;
        }
        let all: f64 = self
            .nodes()
            .filter(|node| node.exists)
            .map(|node| node.capacity)
            .sum();
        let remaining: f64 = self
            .nodes()
            .filter(|node| node.stays)
            .map(|node| node.capacity)
            .sum();
        let keep = self.config.keep;
        if remaining < keep * all - CAPACITY_TOLERANCE {
            let stays = remaining / all * 100.0;
            return Blocker::by_others(format!(
                "{stays:.0}% of the capacity would remain, {:.0}% must",
                keep * 100.0
            ));
        }
        let served = self.snapshot.served;
        if served > self.config.busy * remaining {
            return Blocker::by_others(format!(
                "{served:.0} units/s are served now, too much for the remaining capacity of {remaining:.0} units/s \
                 (this server has {removed:.0})"
            ));
        }
        None
    }
}

/// A limit on the number of servers away in some scope, and their present number.
struct Limit {
    most: u32,
    count: usize,
    scope: &'static str,
}

/// Whether a server counts for limits and capacities. A spare node that has never run does not count as failed.
fn exists(seen: &ServerObservation) -> bool {
    seen.in_service || seen.incarnation != 0 || matches!(seen.role, ServerRole::Host(_))
}

fn host_of(seen: &ServerObservation) -> Option<u32> {
    if let ServerRole::Host(host) = seen.role {
        Some(host)
    } else {
        None
    }
}

fn same_pool(one: &ServerObservation, other: &ServerObservation) -> bool {
    match (&one.role, &other.role) {
        (ServerRole::Node { pool: one, .. }, ServerRole::Node { pool: other, .. }) => one == other,
        (ServerRole::Host(_), ServerRole::Host(_)) => true,
        _ => false,
    }
}

/// Whether a second of the day lies in a range, which may extend past midnight.
fn is_within(from: u32, to: u32, second: u32) -> bool {
    if from <= to {
        (from..to).contains(&second)
    } else {
        second >= from || second < to
    }
}

/// Formats a second of the day as hours and minutes.
fn clock_time(second: u32) -> String {
    format!("{:02}:{:02}", second / 3600, second / 60 % 60)
}
