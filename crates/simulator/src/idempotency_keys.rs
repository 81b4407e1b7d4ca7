//! The idempotency keys that storage nodes remember. Nodes that recognise each other's repeats share a record, as the
//! replicas of a store do. A key is recorded before its write is answered, and stays in the record when a node exits.

use gullsail_configuration::Deployment;
use gullsail_protocol::Handle;
use gullsail_scheduler_api::{Idempotency, IdempotencyScope, Instant, ShardId, Span, ZoneId};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The zone and shard of a node, which select the nodes whose repeats it recognises.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// The shard that the node holds.
    pub shard: ShardId,
}

/// Whether a write takes effect or repeats an earlier one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyedWrite {
    /// The write takes effect. Its key is new and was recorded, unless its request class has no keys.
    TakesEffect,
    /// The write repeats one that took effect and that returned this handle.
    Repeats(Handle),
}

/// The idempotency keys that one node recognises, by request class.
pub struct IdempotencyKeys {
    classes: BTreeMap<String, KeyRule>,
    records: BTreeMap<String, KeyRecord>,
    directory: Option<PathBuf>,
}

/// The record that holds the keys of a request class, and the time for which they are remembered.
struct KeyRule {
    record: String,
    window: Span,
}

/// A recorded key with the handle of its write; one line of a shared record.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RecordedKey {
    key: String,
    at_us: i64,
    shard: i64,
    object: u64,
}

impl IdempotencyKeys {
    /// Creates keys that this node keeps in memory and shares with no other node.
    pub fn of_one_node(deployment: &Deployment, location: &NodeLocation) -> IdempotencyKeys {
        let named = deployment.request_classes.iter();
        let rules = named.filter_map(|class| {
            let rule = key_rule(class.decisions.idempotency, location)?;
            Some((class.name.clone(), rule))
        });
        IdempotencyKeys {
            classes: rules.collect(),
            records: BTreeMap::new(),
            directory: None,
        }
    }

    /// Creates keys that the nodes of a deployment share through files in `directory`.
    pub fn shared(
        deployment: &Deployment,
        location: &NodeLocation,
        directory: &Path,
    ) -> IdempotencyKeys {
        IdempotencyKeys {
            directory: Some(directory.into()),
            ..IdempotencyKeys::of_one_node(deployment, location)
        }
    }

    /// Records the key of a write that a node is about to perform, unless the key is recorded already. A write of a
    /// request class without keys, or with an empty key, always takes effect. `now` is the [`machine_time`].
    ///
    /// # Errors
    /// The shared record cannot be read or written; the write must not take effect then.
    pub fn record(
        &mut self,
        request_class: &str,
        key: &str,
        handle: Handle,
        now: Instant,
    ) -> io::Result<KeyedWrite> {
        let Some(rule) = self.classes.get(request_class).filter(|_| !key.is_empty()) else {
            return Ok(KeyedWrite::TakesEffect);
        };
        let name = &rule.record;
        if !self.records.contains_key(name) {
            let record = KeyRecord::open(self.directory.as_deref(), name)?;
            self.records.insert(name.clone(), record);
        }
        let window = rule.window;
        match self.records.get_mut(name) {
            Some(record) => record.record(key, handle, now, window),
            None => Ok(KeyedWrite::TakesEffect),
        }
    }
}

/// Returns the rule for the keys of a request class; `None`: the class has no keys.
fn key_rule(idempotency: Idempotency, location: &NodeLocation) -> Option<KeyRule> {
    let Idempotency::WithKey { scope, window } = idempotency else {
        return None;
    };
    let record = match scope {
        IdempotencyScope::All => "all".to_string(),
        IdempotencyScope::Zone => format!("zone-{}", location.zone.0),
        IdempotencyScope::Shard => format!("shard-{}", location.shard.0),
    };
    Some(KeyRule { record, window })
}

/// Returns the time since the machine started, which is the same for all processes of the machine.
pub fn machine_time() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::from_micros(time.tv_sec * 1_000_000 + time.tv_nsec / 1_000)
}

/// A record of keys, shared by the nodes that recognise each other's repeats.
#[derive(Default)]
struct KeyRecord {
    keys: BTreeMap<String, RecordedKey>,
    /// The file through which nodes share the record; `None`: the record belongs to one node.
    file: Option<File>,
    /// The length in bytes of the file's start that was read into `keys`.
    read_offset: u64,
}

impl KeyRecord {
    fn open(directory: Option<&Path>, name: &str) -> io::Result<KeyRecord> {
        let open = |directory: &Path| {
            let path = directory.join(format!("keys-{name}.jsonl"));
            File::options()
                .create(true)
                .append(true)
                .read(true)
                .open(path)
        };
        Ok(KeyRecord {
            file: directory.map(open).transpose()?,
            ..KeyRecord::default()
        })
    }

    /// Looks up the key and records it while the file is locked, so that of concurrent writes one takes effect.
    fn record(
        &mut self,
        key: &str,
        handle: Handle,
        now: Instant,
        window: Span,
    ) -> io::Result<KeyedWrite> {
        if let Some(file) = &self.file {
            file.lock()?;
        }
        let result = self.record_locked(key, handle, now, window);
        if let Some(file) = &self.file {
            file.unlock()?;
        }
        result
    }

    fn record_locked(
        &mut self,
        key: &str,
        handle: Handle,
        now: Instant,
        window: Span,
    ) -> io::Result<KeyedWrite> {
        self.read_new_keys()?;
        let is_remembered =
            |recorded_key: &RecordedKey| now - Instant::from_micros(recorded_key.at_us) <= window;
        self.keys
            .retain(|_, recorded_key| is_remembered(recorded_key));
        if let Some(recorded_key) = self.keys.get(key) {
            return Ok(KeyedWrite::Repeats(Handle {
                shard: recorded_key.shard,
                object: recorded_key.object,
            }));
        }
        let recorded = RecordedKey {
            key: key.into(),
            at_us: now.micros(),
            shard: handle.shard,
            object: handle.object,
        };
        self.append(&recorded)?;
        self.keys.insert(recorded.key.clone(), recorded);
        Ok(KeyedWrite::TakesEffect)
    }

    /// Reads the keys that other nodes have recorded. A last line without a line end is left by a node that was killed
    /// while it recorded a key; that write took no effect.
    fn read_new_keys(&mut self) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let mut added = Vec::new();
        file.seek(SeekFrom::Start(self.read_offset))?;
        file.read_to_end(&mut added)?;
        let last_end = added.iter().rposition(|byte| *byte == b'\n');
        let complete_length = last_end.map_or(0, |end| end + 1);
        for line in added[..complete_length].split(|byte| *byte == b'\n') {
            if let Ok(recorded) = serde_json::from_slice::<RecordedKey>(line) {
                self.keys.insert(recorded.key.clone(), recorded);
            }
        }
        self.read_offset += complete_length as u64;
        Ok(())
    }

    fn append(&mut self, recorded: &RecordedKey) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let end = file.seek(SeekFrom::End(0))?;
        let mut line = serde_json::to_string(recorded)?;
        if end > self.read_offset {
            // Terminates the incomplete line that a killed node left.
            line.insert(0, '\n');
        }
        line.push('\n');
        file.write_all(line.as_bytes())?;
        self.read_offset = end + line.len() as u64;
        Ok(())
    }
}
