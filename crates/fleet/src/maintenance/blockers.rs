//! Why one approved order cannot start to drain now. Called by the selection of the next server; it changes
//! nothing.

use super::config::MaintenanceConfig;
use super::order::{Order, Stage};
use super::order_book::OrderBook;
use super::server::{ServerId, ServerObservation, ServerRole};
use super::snapshot::{CAPACITY_TOLERANCE, FleetSnapshot};
use std::collections::BTreeSet;

/// What an order waits for.
pub struct Blocker {
    /// The order waits for servers that are away. A later order must not take a place that becomes free.
    pub by_others: bool,
    /// For operators.
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

/// Why an order cannot go now; `None`: it can.
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
        .or_else(|| check.coordinator_goes_last())
        .or_else(|| check.too_many_away())
        .or_else(|| match seen.what {
            ServerRole::Host(host) => check.quorum(host),
            ServerRole::Node { shard, can, .. } => {
                check.shard(shard).or_else(|| check.capacity(can))
            }
        })
}

/// One order, with everything it is judged by.
struct Check<'a> {
    order_book: &'a OrderBook,
    config: &'a MaintenanceConfig,
    snapshot: &'a FleetSnapshot<'a>,
    order: &'a Order,
    seen: &'a ServerObservation,
    /// The server has failed already, so taking it offline removes nothing.
    failed: bool,
}

/// A storage node, as it counts for the capacity.
struct Node {
    shard: i64,
    capacity: f64,
    exists: bool,
    stays: bool,
}

impl Check<'_> {
    /// Another server is away by its order.
    fn is_ordered_away(&self, server: ServerId) -> bool {
        server != self.order.server
            && self
                .order_book
                .order(server)
                .is_some_and(|other| other.stage.away())
    }

    /// Another server is away, by its order or since it failed.
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
            clock(*from),
            clock(*to)
        ))
    }

    fn coordinator_goes_last(&self) -> Option<Blocker> {
        let is_coordinator = self.seen.what == ServerRole::Host(self.snapshot.coordinator);
        let is_ahead =
            |other: &Order| other.server != self.order.server && other.stage <= Stage::Draining;
        if is_coordinator && self.order_book.open().any(is_ahead) {
            return Blocker::by_itself("this host is the coordinator and goes last");
        }
        None
    }

    /// Servers that are away count towards the limits. For a server that has failed, which is away already,
    /// others that have failed do not count, but those under maintenance do.
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

    /// Without a majority of voters no coordinator is elected; without a majority of hosts no order book is
    /// adopted.
    fn quorum(&self, me: u32) -> Option<Blocker> {
        if self.failed {
            return None;
        }
        let going = self
            .snapshot
            .servers
            .iter()
            .filter(|(server, _)| self.is_ordered_away(**server));
        let going: BTreeSet<u32> = going.filter_map(|(_, seen)| host_of(seen)).collect();
        let members = self.snapshot.members.iter();
        let staying: Vec<u32> = members
            .copied()
            .filter(|host| *host != me && !going.contains(host))
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
            let ServerRole::Node { shard, can, .. } = seen.what else {
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

    fn shard(&self, shard: i64) -> Option<Blocker> {
        if self.order.shard_away {
            return None;
        }
        let holders = || {
            self.nodes()
                .filter(|node| node.shard == shard && node.exists)
        };
        let all: f64 = holders().map(|node| node.capacity).sum();
        let rest: f64 = holders()
            .filter(|node| node.stays)
            .map(|node| node.capacity)
            .sum();
        if rest < (self.config.keep_shard * all).max(f64::MIN_POSITIVE) {
            return Blocker::by_itself(format!("shard {shard} would have too few holders left"));
        }
        None
    }

    fn capacity(&self, needed: f64) -> Option<Blocker> {
        if self.failed {
            return None;
        }
        let all: f64 = self
            .nodes()
            .filter(|node| node.exists)
            .map(|node| node.capacity)
            .sum();
        let rest: f64 = self
            .nodes()
            .filter(|node| node.stays)
            .map(|node| node.capacity)
            .sum();
        let keep = self.config.keep;
        if rest < keep * all - CAPACITY_TOLERANCE {
            let stays = rest / all * 100.0;
            return Blocker::by_others(format!(
                "{stays:.0}% of the capacity would remain, {:.0}% must",
                keep * 100.0
            ));
        }
        let served = self.snapshot.served;
        if served > self.config.busy * rest {
            return Blocker::by_others(format!(
                "{served:.0} units/s are served now, too much for the remaining capacity of {rest:.0} units/s \
                 (this server has {needed:.0})"
            ));
        }
        None
    }
}

/// How many servers may be away in some scope, and how many are.
struct Limit {
    most: u32,
    count: usize,
    scope: &'static str,
}

/// Whether a server counts at all. A spare node that never ran has not failed.
fn exists(seen: &ServerObservation) -> bool {
    seen.well || seen.incarnation != 0 || matches!(seen.what, ServerRole::Host(_))
}

fn host_of(seen: &ServerObservation) -> Option<u32> {
    if let ServerRole::Host(host) = seen.what {
        Some(host)
    } else {
        None
    }
}

fn same_pool(one: &ServerObservation, other: &ServerObservation) -> bool {
    match (&one.what, &other.what) {
        (ServerRole::Node { pool: one, .. }, ServerRole::Node { pool: other, .. }) => one == other,
        (ServerRole::Host(_), ServerRole::Host(_)) => true,
        _ => false,
    }
}

/// Whether a second of the day lies in a range that may go beyond midnight.
fn is_within(from: u32, to: u32, second: u32) -> bool {
    if from <= to {
        (from..to).contains(&second)
    } else {
        second >= from || second < to
    }
}

fn clock(second: u32) -> String {
    format!("{:02}:{:02}", second / 3600, second / 60 % 60)
}
