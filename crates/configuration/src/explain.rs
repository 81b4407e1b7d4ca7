//! Explanations of the problem codes, for `gullsail explain CODE`.

/// Each code with its explanation.
pub const CODES: &[(&str, &str)] = &[
    (
        "syntax",
        "The text is not KDL 2. Often a quote or a closing brace is missing on the line before. #true and #false are written with a #, and an entry ends at the end of its line or at a ;.",
    ),
    (
        "file",
        "A file can't be read: it is missing, too large, not UTF-8, outside the configuration's folder, or it changed while it was read. Names are relative to the file that includes them.",
    ),
    (
        "outside",
        "An include leads out of the folder of the first file. All files of a configuration must lie below that folder, so that the configuration can be copied and reviewed as one.",
    ),
    (
        "loop",
        "Files include each other in a circle. Move what both need into a third file.",
    ),
    (
        "too-deep",
        "Files or templates are nested more than 16 levels deep, or entries or comments more than 64.",
    ),
    (
        "too-much",
        "The configuration is too large: more than 64 MiB of text, or more than 1,000,000 entries after templates are expanded.",
    ),
    (
        "unknown-node",
        "An entry of this kind is not allowed here. `gullsail check` names those that are.",
    ),
    ("unknown-key", "A property that this entry does not have."),
    (
        "unknown-word",
        "A word that is not among those allowed here.",
    ),
    (
        "unknown-name",
        "A name that is not defined: the document has no plan, host, zone, machine, template or parameter of this name.",
    ),
    (
        "too-many",
        "More values without a name than the entry takes.",
    ),
    ("missing", "A required entry, property or value is missing."),
    (
        "twice",
        "The same entry, property or value occurs twice. The message says where the first one stands; the second may come from an include or a template.",
    ),
    (
        "wrong-kind",
        "A value of the wrong kind: spans have a unit and are in quotes (\"150ms\"), numbers have no unit, texts are in quotes, flags are #true or #false.",
    ),
    (
        "no-unit",
        "A rate is in bytes, but the document does not state how many bytes one unit of work stands for: write rules unit=\"64KiB\", or give the rate in units, \"40units/s\".",
    ),
    (
        "range",
        "A range is two numbers that count up, such as \"h{01..40}\": it stands for forty entries, or in a list for forty values. All ranges of one entry must have the same length, and a text has at most one.",
    ),
    (
        "pool-empty",
        "No node of the document is in this pool, so new objects that are routed to it could not be placed. Spare nodes do not count.",
    ),
    (
        "no-rest",
        "The last route must match every new object that the routes before it do not match, so that each one can be placed. A route to \"all\" allows any node.",
    ),
    (
        "route-never",
        "Routes are tried in order and the first that matches decides. This route never decides: earlier routes match all that it would, or nothing meets all of its conditions.",
    ),
    (
        "after",
        "The document named by `after` can't be used: it has errors, is not earlier, or has other hosts. A host that starts needs it to respect the limits that other hosts may still use.",
    ),
    ("contradiction", "Two values contradict each other."),
    (
        "slo-past-expiry",
        "The SLO time, by which an answer is wanted, is longer than the expiry, after which the client gives up.",
    ),
    (
        "limit-under-reserve",
        "A plan's limit is lower than what it reserves: the reserve could never be used.",
    ),
    (
        "voters-together",
        "All hosts that elect the fleet's coordinator are in one zone. If that zone fails, no coordinator is elected, and every host may use only its floor.",
    ),
    (
        "burst-too-small",
        "The burst is split evenly over the volume's hosts, and each part must hold two of the largest transfers. Otherwise a transfer could need more tokens than its bucket can hold and wait for ever.",
    ),
    (
        "reserves-too-large",
        "The volumes' reserves together exceed nine tenths of the capacity of the nodes' machines, so they could not all be met.",
    ),
    (
        "same-number",
        "Two names have the same number (a hash), so the scheduler could not tell them apart. Rename one.",
    ),
    (
        "unused",
        "A definition that nothing refers to. It does no harm, but a name elsewhere may be misspelt.",
    ),
    (
        "zone-empty",
        "A zone without a node: new objects of its hosts are always placed in another zone.",
    ),
    (
        "cold-too-small",
        "The units that a cold node can serve in its first window are less than one largest transfer. Such a transfer can be sent to a cold node only as a lone leg, one at a time.",
    ),
    (
        "odd-parts",
        "The two fractions of the benefit that count for units beyond the reserve: units beyond the share should not count more than units within it.",
    ),
    (
        "tick-long",
        "Hosts answer at the latest two ticks before the expiry. If the tick is long compared to an SLO time, little of that time is left.",
    ),
    (
        "over-limit",
        "A rate that can never be reached because of the limit or the capacity of the nodes.",
    ),
    (
        "served-last",
        "With a factor of 0, the transfers have no benefit, so all others are served first.",
    ),
    (
        "window-short",
        "A keyed transfer may be repeated only while nodes still remember its key. With a window shorter than the SLO time, repeats stop before the answer is late.",
    ),
    (
        "cell-twice",
        "Two running nodes hold the same cell. This happens for a moment when one node takes over from another, but should not stand in a document.",
    ),
    (
        "spare-alone",
        "A spare node for a cell that no running node holds; the cell is probably misspelt.",
    ),
    (
        "no-effect",
        "The value has no effect with the rest of the document as it is.",
    ),
];

/// Returns the explanation of a code; `None` if no problem has this code.
pub fn explain(code: &str) -> Option<&'static str> {
    CODES.iter().find(|c| c.0 == code).map(|c| c.1)
}
