//! The faults that may happen, and how they end.

use badgerstream_control::NodeId;

/// A fault. The order is that of [`Fault::ALL`], from which one is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The process is killed.
    Kill,
    /// The machine loses power.
    PowerOff,
    /// The process is killed and its disk lost.
    LoseDisk,
    /// The process is stopped.
    Freeze,
    /// The machine is isolated from the others.
    Isolate,
    /// The same in one direction.
    IsolateOneWay,
    /// The disk rejects writes.
    DiskFull,
    /// Writes are slow.
    DiskSlow,
    /// Writes complete late.
    DiskStall,
    /// The machine is lost for good; a successor comes later.
    Replace,
    /// A successor comes first; then the machine is shut down and removed.
    ReplacePlanned,
    /// The process is shut down and started again.
    Restart,
    /// All connections are reset.
    ResetConnections,
    /// All processes are killed.
    KillAll,
    /// All machines lose power.
    PowerOffAll,
    /// All machines lose power, and some of them their disks.
    LoseSomeDisks,
    /// The links between two halves are blocked.
    PartitionHalves,
}

impl Fault {
    /// All of them; their order decides what a seed draws.
    pub(super) const ALL: [Fault; 17] = [
        Fault::Kill,
        Fault::PowerOff,
        Fault::LoseDisk,
        Fault::Freeze,
        Fault::Isolate,
        Fault::IsolateOneWay,
        Fault::DiskFull,
        Fault::DiskSlow,
        Fault::DiskStall,
        Fault::Replace,
        Fault::ReplacePlanned,
        Fault::Restart,
        Fault::ResetConnections,
        Fault::KillAll,
        Fault::PowerOffAll,
        Fault::LoseSomeDisks,
        Fault::PartitionHalves,
    ];

    /// Whether one machine loses its disk by it.
    pub(super) fn loses_disk(self) -> bool {
        matches!(
            self,
            Fault::LoseDisk | Fault::Replace | Fault::ReplacePlanned
        )
    }
}

/// What ends a fault, or goes on with it.
#[derive(Clone, Debug)]
pub(super) enum Recovery {
    /// The process is started.
    Start(NodeId),
    /// The process is continued.
    Thaw(NodeId),
    /// A new machine is added and started.
    Join(NodeId),
    /// The machine's links are unblocked.
    Heal(NodeId),
    /// The disk works as usual.
    RepairDisk(NodeId),
    /// The machine is removed.
    Remove(NodeId),
    /// All links are unblocked.
    RejoinHalves,
}

/// A recovery, and the second of simulated time at which it is due.
#[derive(Clone, Debug)]
pub(super) struct ScheduledRecovery {
    pub(super) at: f64,
    pub(super) recovery: Recovery,
}

/// How many machines may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossPolicy {
    /// No more than the budget allows, until they have caught up.
    WithinBudget,
    /// Any number, and the links between two halves; but no more disks than the budget allows,
    /// until all machines vote again. Service may rest meanwhile.
    BeyondBudget,
}
