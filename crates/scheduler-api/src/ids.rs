//! The numbers by which events, actions and the configuration name things.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(
            /// The number itself.
            pub $of,
        );
    )*};
}

ids! {
    /// A request, as this host was handed it.
    RequestId(u64);
    /// A storage node; the same number at every host.
    NodeId(u64);
    /// A volume; the same number at every host.
    VolumeId(u64);
    /// A piece of data.
    ObjectId(u64);
    /// The part of the data that a node holds.
    ShardId(i64);
    /// A host, by its place among the hosts.
    HostId(u32);
    /// A zone, by its place in the configuration.
    ZoneId(usize);
    /// A plan, by its place in the configuration.
    PlanId(usize);
    /// A request class, by its place in the configuration.
    RequestClassId(usize);
    /// A pool of nodes, by its place; the first holds all of them.
    PoolId(usize);
    /// A timer, named by whoever set it.
    TimerId(u64);
}

impl PoolId {
    /// Every node, whatever other pools it is in.
    pub const ALL: PoolId = PoolId(0);
    /// The largest number, for ranges.
    pub const LAST: PoolId = PoolId(usize::MAX);
}
