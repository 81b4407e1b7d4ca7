//! The instances of the scheduler in one process, and the handling of batches of events.

use crate::actions;
use crate::error::AdapterError;
use crate::events::{self, Names};
use crate::wire::{Batch, Entry, WireEvent};
use gullsail::Scheduler;
use gullsail_scheduler_api::{Event, Instant};
use gullsail_scheduler_settings::RawSettings;
use serde_json::Value;
use std::collections::BTreeMap;

/// One instance of the scheduler, for one host.
struct Instance {
    scheduler: Scheduler,
    names: Names,
    /// The instance's events in the current batch.
    events: Vec<Event>,
    /// Whether the instance is stepped at the end of the current batch.
    pending: bool,
}

/// All instances of the scheduler in this process.
#[derive(Default)]
pub struct Adapter {
    /// The instances by the bench's host numbers.
    instances: BTreeMap<u64, Instance>,
    /// The endpoint lists received so far, by the numbers by which events refer to them.
    pages: BTreeMap<u64, Vec<Entry>>,
}

impl Adapter {
    /// Hands the events of a batch to their instances and steps each of these once, in the order of their first
    /// events. Returns their actions as messages of the bench's protocol.
    ///
    /// # Errors
    /// An event is malformed. Events that follow it in the batch are lost, so the process should end.
    pub fn handle_batch(&mut self, batch: Batch) -> Result<Vec<Value>, AdapterError> {
        let now = Instant::from_millis(batch.time_ms);
        let mut pending = Vec::new();
        for event in batch.arrivals {
            match event {
                WireEvent::Page { table, hosts } => {
                    self.pages.insert(table, hosts);
                }
                WireEvent::Start {
                    host,
                    rng_seed,
                    boot_info,
                } => {
                    self.start_instance(host, rng_seed, &boot_info, now)?;
                    pending.push(host);
                }
                WireEvent::Detach { host } => {
                    self.instances.remove(&host);
                }
                event => self.add_event(event, &mut pending)?,
            }
        }
        Ok(self.step_instances(now, &pending))
    }

    fn start_instance(
        &mut self,
        host: u64,
        seed: u64,
        settings: &RawSettings,
        now: Instant,
    ) -> Result<(), AdapterError> {
        let (config, names) = events::config(settings)?;
        let scheduler = Scheduler::new(config, seed, now);
        self.instances.insert(
            host,
            Instance {
                scheduler,
                names,
                events: Vec::new(),
                pending: true,
            },
        );
        Ok(())
    }

    fn add_event(&mut self, event: WireEvent, pending: &mut Vec<u64>) -> Result<(), AdapterError> {
        let Some(host) = event.host() else {
            return Ok(());
        };
        let Some(instance) = self.instances.get_mut(&host) else {
            eprintln!("gullsail-benchlink: event ignored: host {host} is not running");
            return Ok(());
        };
        if let Some(event) = events::translate(event, &mut instance.names, &self.pages)? {
            instance.events.push(event);
            if !instance.pending {
                instance.pending = true;
                pending.push(host);
            }
        }
        Ok(())
    }

    fn step_instances(&mut self, now: Instant, pending: &[u64]) -> Vec<Value> {
        let mut outbox = Vec::new();
        for host in pending {
            let Some(instance) = self.instances.get_mut(host) else {
                continue;
            };
            // A host that was killed and started again in one batch is listed twice.
            if !std::mem::take(&mut instance.pending) {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            for action in instance.scheduler.step(now, events) {
                outbox.extend(actions::translate(*host, action, &instance.names));
            }
        }
        outbox
    }
}
