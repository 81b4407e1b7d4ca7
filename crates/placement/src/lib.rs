//! Where volumes' new objects should go, zone by zone: a linear programme over the bytes that each volume
//! brings from each zone, the nodes' capacity, the zones where objects may lie and the budgets between zones.
//! The command line builds a [`Question`] from a configuration ([`documents`]), calls [`Question::plan`] and
//! prints the [`Plan`]. No I/O.

pub mod documents;

use good_lp::{
    Expression, ResolutionError, Solution, SolverModel, Variable, microlp, variable, variables,
};
use std::collections::BTreeSet;

/// One volume's new objects.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The volume's name.
    pub volume: String,
    /// Bytes a second that come through hosts of each zone, by the zone's index.
    pub from: Vec<f64>,
    /// The zones where they may lie.
    pub zones: BTreeSet<usize>,
    /// Work on nodes for each byte, in units.
    pub units_a_byte: f64,
}

/// A limit on the traffic from one zone to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The sending zone.
    pub from: usize,
    /// The receiving zone.
    pub to: usize,
    /// Bytes a second.
    pub limit: f64,
}

/// All that a plan depends on. Zones, volumes and budgets are numbered by their index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Question {
    /// Their names.
    pub zones: Vec<String>,
    /// Units a second that each zone's nodes may be given.
    pub capacity: Vec<f64>,
    /// What one node more would add to it.
    pub node_capacity: Vec<f64>,
    /// The volumes.
    pub demands: Vec<Demand>,
    /// The limits between zones.
    pub budgets: Vec<Budget>,
    /// The price of a byte that crosses, by its zones.
    pub price: Vec<Vec<f64>>,
}

/// A constraint of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The capacity of a zone's nodes.
    Nodes(usize),
    /// A budget.
    Budget(usize),
    /// The zones where a volume's objects may lie: without it, anywhere.
    Zones(usize),
}

/// A bound that makes the plan dearer, and the gain from relaxing it.
#[derive(Clone, Debug, PartialEq)]
pub struct Binding {
    /// The bound.
    pub bound: Bound,
    /// Cost a second saved by one node more, or by one byte a second more.
    pub saves: f64,
}

/// The cheapest placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Bytes a second to each zone, by volume.
    pub to: Vec<Vec<f64>>,
    /// Bytes a second from zone to zone.
    pub crosses: Vec<Vec<f64>>,
    /// Its price a second.
    pub cost: f64,
    /// The bounds that make it dearer, the costliest first.
    pub binding: Vec<Binding>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NoPlan {
    /// These bounds contradict each other; without any one of them there would be a plan.
    #[error("the constraints conflict")]
    Clash(Vec<Bound>),
    /// The solver failed.
    #[error("the solver found no solution: {0}")]
    Solver(String),
}

/// A solution of the linear programme.
struct Solved {
    /// Bytes a second, by volume, sending zone and receiving zone.
    flows: Vec<Vec<Vec<f64>>>,
    cost: f64,
}

/// A question with one bound relaxed by some nodes, or by some bytes a second.
struct Relaxed {
    question: Question,
    step: f64,
}

/// Relative to the largest number: the solver's rounding error.
const TOLERANCE: f64 = 1e-6;

impl Question {
    fn bounds(&self) -> Vec<Bound> {
        let nodes = (0..self.zones.len()).map(Bound::Nodes);
        let budgets = (0..self.budgets.len()).map(Bound::Budget);
        nodes
            .chain(budgets)
            .chain((0..self.demands.len()).map(Bound::Zones))
            .collect()
    }

    fn budget(&self, from: usize, to: usize) -> Option<usize> {
        self.budgets
            .iter()
            .position(|b| b.from == from && b.to == to)
    }

    /// With these bounds alone; `Ok(None)`: no plan keeps them.
    fn solve(&self, kept: &BTreeSet<Bound>) -> Result<Option<Solved>, NoPlan> {
        let zones = self.zones.len();
        let mut all = variables!();
        let mut flows: Vec<Vec<Vec<Option<Variable>>>> = Vec::new();
        for (v, d) in self.demands.iter().enumerate() {
            let may = |to: &usize| !kept.contains(&Bound::Zones(v)) || d.zones.contains(to);
            let mut row = |from: usize| -> Vec<Option<Variable>> {
                let used = d.from[from] > 0.0;
                (0..zones)
                    .map(|to| (used && may(&to)).then(|| all.add(variable().min(0.0))))
                    .collect()
            };
            flows.push((0..zones).map(&mut row).collect());
        }
        let each = || {
            (0..self.demands.len())
                .flat_map(move |v| (0..zones).flat_map(move |a| (0..zones).map(move |b| (v, a, b))))
        };
        let sum = |of: &dyn Fn(usize, usize, usize) -> f64| -> Expression {
            each()
                .filter_map(|(v, a, b)| Some(of(v, a, b) * flows[v][a][b]?))
                .sum()
        };
        let price = |a: usize, b: usize| {
            self.price
                .get(a)
                .and_then(|row| row.get(b))
                .copied()
                .unwrap_or(0.0)
        };
        // Among plans that cost alike, one that crosses less.
        let largest = self
            .price
            .iter()
            .flatten()
            .copied()
            .fold(0.0, f64::max)
            .max(1.0);
        let cost = sum(&|_, a, b| {
            if a == b {
                0.0
            } else {
                price(a, b) + largest * TOLERANCE
            }
        });
        let mut model = all.minimise(cost).using(microlp);
        for (v, d) in self.demands.iter().enumerate() {
            for (a, asked) in d.from.iter().enumerate().filter(|(_, asked)| **asked > 0.0) {
                let placed = sum(&|w, from, _| f64::from(u8::from(w == v && from == a)));
                model = model.with(placed.eq(*asked));
            }
        }
        for bound in kept {
            match *bound {
                Bound::Nodes(z) => {
                    let work = sum(&|v, _, b| {
                        if b == z {
                            self.demands[v].units_a_byte
                        } else {
                            0.0
                        }
                    });
                    model = model.with(work.leq(self.capacity[z]));
                }
                Bound::Budget(place) => {
                    let b = &self.budgets[place];
                    let crosses =
                        sum(&|_, from, to| f64::from(u8::from(from == b.from && to == b.to)));
                    model = model.with(crosses.leq(b.limit));
                }
                Bound::Zones(_) => {}
            }
        }
        match model.solve() {
            Ok(solution) => {
                let value =
                    |at: &Option<Variable>| at.map_or(0.0, |var| solution.value(var).max(0.0));
                let flows: Vec<Vec<Vec<f64>>> = flows
                    .iter()
                    .map(|v| v.iter().map(|a| a.iter().map(value).collect()).collect())
                    .collect();
                let cost = each()
                    .map(|(v, a, b)| {
                        if a == b {
                            0.0
                        } else {
                            flows[v][a][b] * price(a, b)
                        }
                    })
                    .sum();
                Ok(Some(Solved { flows, cost }))
            }
            Err(ResolutionError::Infeasible) => Ok(None),
            Err(e) => Err(NoPlan::Solver(e.to_string())),
        }
    }

    /// The cheapest plan, what holds it back, or what clashes.
    ///
    /// # Errors
    /// No plan keeps all bounds, with a smallest set of those that clash; or the solver gave up.
    pub fn plan(&self) -> Result<Plan, NoPlan> {
        let all: BTreeSet<Bound> = self.bounds().into_iter().collect();
        let Some(solved) = self.solve(&all)? else {
            return Err(NoPlan::Clash(self.clash(all)?));
        };
        let zones = self.zones.len();
        let sum = |of: &dyn Fn(usize, usize, usize) -> bool| -> f64 {
            let each = solved.flows.iter().enumerate().flat_map(|(v, rows)| {
                rows.iter().enumerate().flat_map(move |(a, row)| {
                    row.iter().enumerate().map(move |(b, y)| (v, a, b, *y))
                })
            });
            each.filter(|(v, a, b, _)| of(*v, *a, *b))
                .map(|e| e.3)
                .sum()
        };
        let to = (0..self.demands.len()).map(|v| {
            (0..zones)
                .map(|z| sum(&|w, _, b| w == v && b == z))
                .collect()
        });
        let crosses = |a| {
            (0..zones)
                .map(|b| {
                    if a == b {
                        0.0
                    } else {
                        sum(&|_, x, y| x == a && y == b)
                    }
                })
                .collect()
        };
        let mut plan = Plan {
            to: to.collect(),
            crosses: (0..zones).map(crosses).collect(),
            cost: solved.cost,
            binding: Vec::new(),
        };
        for bound in all {
            let Some(Relaxed { question, step }) = self.relax(bound) else {
                continue;
            };
            let cost = question
                .solve(&self.bounds().into_iter().collect())?
                .map_or(plan.cost, |s| s.cost);
            let saves = (plan.cost - cost) / step;
            if (plan.cost - cost) > plan.cost.max(1e-12) * TOLERANCE {
                plan.binding.push(Binding { bound, saves });
            }
        }
        plan.binding.sort_by(|a, b| b.saves.total_cmp(&a.saves));
        Ok(plan)
    }

    /// The same question with one bound relaxed; `None`: that is not possible.
    fn relax(&self, bound: Bound) -> Option<Relaxed> {
        let mut question = self.clone();
        match bound {
            Bound::Nodes(zone) if self.node_capacity[zone] > 0.0 => {
                question.capacity[zone] += question.node_capacity[zone];
                Some(Relaxed {
                    question,
                    step: 1.0,
                })
            }
            Bound::Budget(index) => {
                // A thousandth: the value of a byte here, not that of a flood.
                let step = (question.budgets[index].limit / 1000.0).max(1.0);
                question.budgets[index].limit += step;
                Some(Relaxed { question, step })
            }
            Bound::Nodes(_) | Bound::Zones(_) => None,
        }
    }

    /// A smallest set of bounds that clash: each that can be left out without a plan coming about is left
    /// out.
    fn clash(&self, mut kept: BTreeSet<Bound>) -> Result<Vec<Bound>, NoPlan> {
        for bound in self.bounds() {
            kept.remove(&bound);
            if self.solve(&kept)?.is_some() {
                kept.insert(bound);
            }
        }
        Ok(kept.into_iter().collect())
    }

    /// A description of a bound.
    pub fn say(&self, bound: Bound) -> String {
        match bound {
            Bound::Nodes(z) => {
                format!(
                    "what the nodes of {} can do, {:.0} units a second",
                    self.zones[z], self.capacity[z]
                )
            }
            Bound::Budget(place) => {
                let b = &self.budgets[place];
                format!(
                    "the budget from {} to {}, {:.0} bytes a second",
                    self.zones[b.from], self.zones[b.to], b.limit
                )
            }
            Bound::Zones(v) => {
                let d = &self.demands[v];
                let names: Vec<_> = d.zones.iter().map(|z| self.zones[*z].as_str()).collect();
                format!("volume \"{}\" may lie in {}", d.volume, names.join(", "))
            }
        }
    }

    /// The budget from one zone to another, if there is one.
    pub fn most(&self, from: usize, to: usize) -> Option<f64> {
        self.budget(from, to).map(|place| self.budgets[place].limit)
    }
}
