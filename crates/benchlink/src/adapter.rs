//! The instances of the scheduler in one process, and what each batch of events makes them do.

use crate::actions;
use crate::error::AdapterError;
use crate::events::{self, Names};
use crate::wire::{Batch, Entry, WireEvent};
use gullsail::Scheduler;
use gullsail_scheduler_api::{Event, Instant};
use gullsail_scheduler_settings::RawSettings;
use serde_json::Value;
use std::collections::BTreeMap;

/// One instance, and the events of this batch for it.
struct Instance {
    scheduler: Scheduler,
    names: Names,
    events: Vec<Event>,
    /// It is to be stepped at the end of this batch.
    pending: bool,
}

/// All instances of the process, by the bench's host numbers.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    /// Endpoint lists, to which events refer by number.
    pages: BTreeMap<u64, Vec<Entry>>,
}

impl Adapter {
    /// Hands all events of a batch to their instances, steps these once each, in the order of their first
    /// event, and returns their actions as the bench's messages.
    ///
    /// # Errors
    /// An event can't be understood; the process is of no further use then.
    pub fn handle_batch(&mut self, batch: Batch) -> Result<Vec<Value>, AdapterError> {
        let now = Instant::from_millis(batch.t);
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
            eprintln!("gullsail-benchlink: event for host {host}, which does not live: ignored");
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
            // A host that was killed and started again in one batch may stand here twice.
            let Some(instance) = self.instances.get_mut(host).filter(|i| i.pending) else {
                continue;
            };
            instance.pending = false;
            let events = std::mem::take(&mut instance.events);
            for action in instance.scheduler.step(now, events) {
                outbox.extend(actions::translate(*host, action, &instance.names));
            }
        }
        outbox
    }
}
