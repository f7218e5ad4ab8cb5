//! The kinds of faults and of recoveries, and the policy that limits losses.

use badgerstream_control::NodeId;

/// A fault. The order is that of [`Fault::ALL`], from which one is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The process is killed.
    Kill,
    /// The machine loses power.
    PowerOff,
    /// The process is killed, and its disk is lost.
    LoseDisk,
    /// The process is stopped.
    Freeze,
    /// The machine is isolated from the others.
    Isolate,
    /// The machine is isolated from the others in one direction.
    IsolateOneWay,
    /// The disk rejects writes.
    DiskFull,
    /// Writes are slow.
    DiskSlow,
    /// No write completes until the stall ends.
    DiskStall,
    /// The machine is lost permanently; its successor starts later.
    Replace,
    /// A successor starts first; then the machine is shut down and removed.
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
    /// All faults. Their order determines which faults a seed draws, so it must not change.
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

    /// Returns whether this fault makes one machine lose its disk.
    pub(super) fn loses_disk(self) -> bool {
        matches!(
            self,
            Fault::LoseDisk | Fault::Replace | Fault::ReplacePlanned
        )
    }
}

/// An action that ends a fault, or performs the next step of a replacement.
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
    /// The disk becomes healthy again.
    RepairDisk(NodeId),
    /// The machine is removed.
    Remove(NodeId),
    /// All links are unblocked.
    RejoinHalves,
}

/// A recovery, and the time at which it is due, in seconds of simulated time.
#[derive(Clone, Debug)]
pub(super) struct ScheduledRecovery {
    pub(super) at: f64,
    pub(super) recovery: Recovery,
}

/// The limit on the machines and disks that may be lost at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossPolicy {
    /// At most as many machines as the budget allows. A machine counts as lost until it has caught
    /// up.
    WithinBudget,
    /// Any number of machines, and partitions into halves. At most as many disks as the budget
    /// allows may be lost until all machines vote again. The service may be unavailable meanwhile.
    BeyondBudget,
}
