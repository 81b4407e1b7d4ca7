//! The `revision` entry of a document.

use crate::entities::RevisionPlace;
use crate::reader::{Reader, entries};
use gullsail_config_transition::Revision;
use kdl::{KdlDocument, KdlNode};

pub(crate) fn entry(document: &KdlDocument) -> Option<&KdlNode> {
    entries(document, "revision").next()
}

pub(crate) fn read(document: &KdlDocument, r: &mut Reader) -> RevisionPlace {
    let Some(n) = entry(document) else {
        return RevisionPlace::default();
    };
    r.only(n, 1, &["after"], &[]);
    let number = n.entries().iter().find(|e| e.name().is_none());
    let revision = match number.map(|e| {
        (
            e,
            e.value().as_integer().and_then(|i| u64::try_from(i).ok()),
        )
    }) {
        Some((_, Some(revision))) if revision > 0 => revision,
        Some((e, _)) => {
            r.report(
                "wrong-kind",
                format!("{} is not a whole number of at least 1", e.value()),
                e.span(),
                None,
            );
            0
        }
        None => {
            r.report(
                "missing",
                "`revision` needs its number".into(),
                n.span(),
                Some("revision 1".into()),
            );
            0
        }
    };
    RevisionPlace {
        revision: Revision(revision),
        after: r.text_at(n, "after"),
    }
}
