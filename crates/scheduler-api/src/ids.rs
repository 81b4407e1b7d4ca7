//! Ids in events, actions and the configuration.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($number:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(
            /// The number itself.
            pub $number,
        );
    )*};
}

ids! {
    /// A request; unique within one incarnation of a host.
    RequestId(u64);
    /// A storage node; the same number at every host.
    NodeId(u64);
    /// A volume; the same number at every host.
    VolumeId(u64);
    /// An object of a volume.
    ObjectId(u64);
    /// A shard: the part of the data that a node holds.
    ShardId(i64);
    /// A host, by its position among the hosts.
    HostId(u32);
    /// A zone, by its position in the configuration.
    ZoneId(usize);
    /// A plan, by its position in the configuration.
    PlanId(usize);
    /// A request class, by its position in the configuration.
    RequestClassId(usize);
    /// A pool of nodes, by its position in the configuration; the first holds all nodes.
    PoolId(usize);
    /// A timer, numbered by the scheduler.
    TimerId(u64);
}

impl PoolId {
    /// The pool of all nodes.
    pub const ALL: PoolId = PoolId(0);
    /// The largest id, as the end of a range.
    pub const LAST: PoolId = PoolId(usize::MAX);
}
