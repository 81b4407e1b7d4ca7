//! The `revision` entry of a document.

use crate::entities::RevisionPlace;
use crate::reader::{Reader, entries};
use gullsail_config_transition::Revision;
use kdl::{KdlDocument, KdlNode};

/// The document's `revision` entry, if it has one.
pub(crate) fn entry(document: &KdlDocument) -> Option<&KdlNode> {
    entries(document, "revision").next()
}

/// Reads the `revision` entry. Without one, the revision is 0 and has no predecessor.
pub(crate) fn read(document: &KdlDocument, reader: &mut Reader) -> RevisionPlace {
    let Some(entry) = entry(document) else {
        return RevisionPlace::default();
    };
    reader.only(entry, 1, &["after"], &[]);
    let number = entry.entries().iter().find(|e| e.name().is_none());
    let revision = match number.map(|e| {
        (
            e,
            e.value().as_integer().and_then(|i| u64::try_from(i).ok()),
        )
    }) {
        Some((_, Some(revision))) if revision > 0 => revision,
        Some((e, _)) => {
            reader.report(
                "wrong-kind",
                format!("{} is not a whole number of at least 1", e.value()),
                e.span(),
                None,
            );
            0
        }
        None => {
            reader.report(
                "missing",
                "`revision` needs its number".into(),
                entry.span(),
                Some("revision 1".into()),
            );
            0
        }
    };
    RevisionPlace {
        revision: Revision(revision),
        after: reader.text_at(entry, "after"),
    }
}
