//! The idempotency keys that storage nodes remember. Nodes that discard each other's repeats share a record, as the
//! replicas of a store do: a key is in it before its write is answered, and stays there when a node ends.

use gullsail_configuration::Deployment;
use gullsail_protocol::Handle;
use gullsail_scheduler_api::{Idempotency, IdempotencyScope, Instant, ShardId, Span, ZoneId};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Where a node stands; decides whose repeats it recognises.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
}

/// Whether a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyedWrite {
    /// Its key is new, and is recorded now.
    TakesEffect,
    /// The repeat of a write that took effect, which gave this handle.
    Repeats(Handle),
}

/// The keys that one node recognises, by request class.
pub struct IdempotencyKeys {
    classes: BTreeMap<String, KeyRule>,
    records: BTreeMap<String, KeyRecord>,
    directory: Option<PathBuf>,
}

/// Which record holds the keys of a request class, and for how long.
struct KeyRule {
    record: String,
    window: Span,
}

/// A key, as a line of a shared record.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RecordedKey {
    key: String,
    at_us: i64,
    shard: i64,
    object: u64,
}

impl IdempotencyKeys {
    /// Keys that this node alone knows, until it ends.
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

    /// Keys that all nodes of the deployment share through files in `directory`.
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

    /// Records the key of a write that a node is about to carry out, unless the key is known. A class without keys
    /// always takes effect. `now` is [`machine_time`].
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

/// The rule of a class with keys; `None`: it has none.
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

/// The time since the machine started, which all its processes read alike.
pub fn machine_time() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::from_micros(time.tv_sec * 1_000_000 + time.tv_nsec / 1_000)
}

/// The keys of the nodes that recognise each other's repeats.
#[derive(Default)]
struct KeyRecord {
    known: BTreeMap<String, RecordedKey>,
    /// Where the nodes share it; `None`: only this node has it.
    file: Option<File>,
    /// How much of the file is in `known`, in bytes.
    read_to: u64,
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

    /// Looks the key up and records it in one step that no other node can come between.
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
        let is_remembered = |known: &RecordedKey| now - Instant::from_micros(known.at_us) <= window;
        self.known.retain(|_, known| is_remembered(known));
        if let Some(known) = self.known.get(key) {
            return Ok(KeyedWrite::Repeats(Handle {
                shard: known.shard,
                object: known.object,
            }));
        }
        let recorded = RecordedKey {
            key: key.into(),
            at_us: now.micros(),
            shard: handle.shard,
            object: handle.object,
        };
        self.append(&recorded)?;
        self.known.insert(recorded.key.clone(), recorded);
        Ok(KeyedWrite::TakesEffect)
    }

    /// Reads what other nodes have recorded. A last line without its end is from a node that was killed while it
    /// wrote; that write took no effect.
    fn read_new_keys(&mut self) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let mut added = Vec::new();
        file.seek(SeekFrom::Start(self.read_to))?;
        file.read_to_end(&mut added)?;
        let last_end = added.iter().rposition(|byte| *byte == b'\n');
        let whole = last_end.map_or(0, |end| end + 1);
        for line in added[..whole].split(|byte| *byte == b'\n') {
            if let Ok(recorded) = serde_json::from_slice::<RecordedKey>(line) {
                self.known.insert(recorded.key.clone(), recorded);
            }
        }
        self.read_to += whole as u64;
        Ok(())
    }

    fn append(&mut self, recorded: &RecordedKey) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let end = file.seek(SeekFrom::End(0))?;
        let mut line = serde_json::to_string(recorded)?;
        if end > self.read_to {
            // Ends the line that a killed node left.
            line.insert(0, '\n');
        }
        line.push('\n');
        file.write_all(line.as_bytes())?;
        self.read_to = end + line.len() as u64;
        Ok(())
    }
}
