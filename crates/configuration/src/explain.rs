//! What each code of a problem means, for `gullsail explain CODE`.

/// Code, and what it means with an example of what to write.
pub const CODES: &[(&str, &str)] = &[
    (
        "syntax",
        "The text is not KDL 2. Often a quote or a closing brace is missing on the line before; #true and #false have a #, and entries end with a line or a ;.",
    ),
    (
        "file",
        "A file can't be had: it is missing, too large, not UTF-8, outside the configuration's folder, or it changed while it was read. Names are relative to the file that includes them.",
    ),
    (
        "outside",
        "An include leads out of the folder of the first file. Everything that a configuration holds lies below that folder, so that it can be copied and reviewed as one.",
    ),
    (
        "loop",
        "Files include each other in a circle. Move what both need into a third file.",
    ),
    (
        "too-deep",
        "Files or templates lie more than 16 deep within each other, or entries and comments more than 64.",
    ),
    (
        "too-much",
        "The configuration is larger than is plausible: 64 MiB of text, or 1,000,000 entries once templates are in place.",
    ),
    (
        "unknown-node",
        "An entry that has no meaning here. `gullsail check` names those that do.",
    ),
    ("unknown-key", "A property that this entry does not have."),
    ("unknown-word", "A word that is none of those allowed here."),
    (
        "unknown-name",
        "A name that nothing bears: a plan, host, zone, machine, template or parameter that is defined nowhere.",
    ),
    (
        "too-many",
        "More values without a name than the entry takes.",
    ),
    ("missing", "Something that has to be there is not."),
    (
        "twice",
        "The same thing stands twice. The message says where it stands first; the second may come from an include or a template.",
    ),
    (
        "wrong-kind",
        "A value of another kind: spans have a unit in quotes (\"150ms\"), figures have none, texts are in quotes, flags are #true or #false.",
    ),
    (
        "no-unit",
        "A rate in bytes where nothing says how many bytes one unit of work stands for: write rules unit=\"64KiB\", or the rate in units, \"40units/s\".",
    ),
    (
        "range",
        "A range is two numbers that count up, such as \"h{01..40}\": forty entries, or in a list forty values. Ranges of one entry have the same length, and a text has one at most.",
    ),
    (
        "pool-empty",
        "No node of the document is in this pool, so its new objects could lie nowhere. Nodes that do not run yet do not count.",
    ),
    (
        "no-rest",
        "The last route must take all that those before it leave, so that no new object is without a place by mistake. A route to \"all\" lets it lie on any node.",
    ),
    (
        "route-never",
        "Routes are tried in their order and the first that matches decides. Nothing is left for this one, or nothing fits all that it asks for.",
    ),
    (
        "after",
        "The document that this one comes after can't be used: it is not sound, is not earlier, or has other hosts. Hosts that start need it to know what others may still hold to.",
    ),
    ("contradiction", "Two values that can't both be meant."),
    (
        "slo-past-expiry",
        "The SLO time, when an answer is wanted, lies after the expiry, when the client gives up.",
    ),
    (
        "limit-under-reserve",
        "A plan's limit is lower than what it reserves: the reserve could never be used.",
    ),
    (
        "voters-together",
        "All hosts that elect the fleet's coordinator are in one zone: without it nobody decides, and all hosts use their floors only.",
    ),
    (
        "burst-too-small",
        "The burst is split evenly over the volume's hosts, and each part must hold two of the largest transfers; else a transfer could wait for ever for tokens that fit into no bucket.",
    ),
    (
        "reserves-too-large",
        "The volumes' reserves sum past nine tenths of what the nodes' machines can do: they could not all be kept.",
    ),
    (
        "same-number",
        "Two names have the same number (a hash): to the decisions they would be one. Rename one.",
    ),
    (
        "unused",
        "A definition that nothing refers to. It does no harm; it may be a misspelt name elsewhere.",
    ),
    (
        "zone-empty",
        "A zone without a node: new objects of its hosts always cross to another zone.",
    ),
    (
        "cold-too-small",
        "What a cold node bears in any case is less than one largest transfer: such a transfer can only go to a cold node as a lone leg.",
    ),
    (
        "odd-parts",
        "The parts of the benefit that units past the reserve, and past the share, still earn: the later ones should not earn more.",
    ),
    (
        "tick-long",
        "Hosts answer by two ticks before the expiry at the latest. A tick that is long against an SLO time leaves little of it.",
    ),
    (
        "over-limit",
        "A figure that the limit, or what the nodes can do, will never let be reached.",
    ),
    (
        "served-last",
        "A factor of 0 makes the benefit of its transfers nothing, so all others go before them.",
    ),
    (
        "window-short",
        "A keyed transfer may be sent again only while nodes still know its key. A window shorter than the SLO time gives repeats up early.",
    ),
    (
        "cell-twice",
        "Two running nodes hold the same part of the data. That is so for a moment when one takes over from another, and not in a document.",
    ),
    (
        "spare-alone",
        "A node that stands by for a part of the data that no running node holds; its cell is probably misspelt.",
    ),
    ("no-effect", "The value changes nothing as things stand."),
];

/// `None`: no problem has this code.
pub fn explain(code: &str) -> Option<&'static str> {
    CODES.iter().find(|c| c.0 == code).map(|c| c.1)
}
