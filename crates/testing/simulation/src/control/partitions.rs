//! Network partitions between control machines.

use super::cluster::ControlCluster;
use crate::kernel::Kernel;
use badgerstream_control::NodeId;

/// Which directions between a machine and all other control machines are blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// Both directions are blocked.
    BothWays,
    /// The machine receives nothing from the others, but they receive its messages.
    Inbound,
    /// The others receive nothing from the machine, but it receives their messages.
    Outbound,
}

impl Isolation {
    fn blocks_inbound(self) -> bool {
        self != Isolation::Outbound
    }

    fn blocks_outbound(self) -> bool {
        self != Isolation::Inbound
    }
}

impl ControlCluster {
    /// Returns whether the control machines are partitioned into halves.
    pub fn is_halved(&self) -> bool {
        self.halved
    }

    /// Blocks the links of this machine to all others.
    pub(crate) fn isolate(&mut self, node: NodeId, isolation: Isolation) {
        self.isolated.insert(node);
        for other in self.nodes_except(node) {
            if isolation.blocks_inbound() {
                self.network.blocked.insert((other, node));
            }
            if isolation.blocks_outbound() {
                self.network.blocked.insert((node, other));
            }
        }
    }

    /// Unblocks all links of this machine.
    pub(crate) fn heal(&mut self, kernel: &mut Kernel, node: NodeId) {
        self.isolated.remove(&node);
        self.network.unblock_machine(node);
        self.release_held_back(kernel);
    }

    /// Blocks all links between the two groups.
    pub(crate) fn partition_halves(&mut self, half: &[NodeId], other_half: &[NodeId]) {
        self.halved = true;
        for one in half {
            for other in other_half {
                self.network.block_both_ways(*one, *other);
            }
        }
    }

    /// Unblocks all links.
    pub(crate) fn heal_all(&mut self, kernel: &mut Kernel) {
        self.halved = false;
        self.isolated.clear();
        self.network.blocked.clear();
        self.release_held_back(kernel);
    }

    /// Resets all connections between control machines.
    pub(crate) fn reset_connections(&mut self) {
        let nodes: Vec<NodeId> = self.machines.keys().copied().collect();
        for from in &nodes {
            for to in nodes.iter().filter(|to| *to != from) {
                self.network.reset(*from, *to);
            }
        }
    }
}
