//! Sends and delivers messages between control machines.

use super::cluster::ControlCluster;
use super::network::PeerEnvelope;
use crate::event::ControlEvent;
use crate::kernel::Kernel;
use badgerstream_control::{NodeId, PeerMessage, Recipient, Voter};

/// The outcome of a message's arrival.
pub(crate) enum Delivery {
    /// The receiver does not handle it now: it is held back, queued for a stalled process, or
    /// dropped.
    Deferred,
    /// It is addressed to another incarnation of the receiver's disk. The receiver only learns that
    /// the sender exists.
    OtherIncarnation { receiver: NodeId, sender: NodeId },
    /// The receiver handles it.
    Accepted {
        receiver: NodeId,
        sender: Voter,
        message: PeerMessage,
    },
}

impl ControlCluster {
    /// Sends a message. Opens a connection if there is none, and may reset it at random.
    pub(crate) fn send_to_peer(
        &mut self,
        kernel: &mut Kernel,
        from: NodeId,
        to: Recipient,
        message: PeerMessage,
    ) {
        let machine = &self.machines[&from];
        let (sender, process) = (machine.voter(), machine.process());
        let connection = self.network.connection(process, to.node());
        if connection.is_new {
            let connected = ControlEvent::PeerConnected {
                process,
                peer: to.node(),
            };
            kernel.schedule(0.0, connected);
        }
        if kernel.random.per_mille(self.network.resets_per_mille) {
            self.network.reset(from, to.node());
            return;
        }
        let envelope = PeerEnvelope {
            from: sender,
            to,
            connection: connection.id,
            sent_at: kernel.now(),
            message,
        };
        if self.network.is_blocked(from, envelope.to.node()) {
            self.network.hold_back(envelope);
        } else {
            self.transmit(kernel, envelope);
        }
    }

    fn transmit(&mut self, kernel: &mut Kernel, envelope: PeerEnvelope) {
        let (from, to) = (envelope.from.node, envelope.to.node());
        let delay = kernel.message_delay();
        let arrival = self.network.arrival_time(from, to, kernel.now(), delay);
        let arrived = ControlEvent::PeerMessageArrived(envelope);
        kernel.schedule(arrival - kernel.now(), arrived);
    }

    /// Transmits the messages that were held back on links that are no longer blocked.
    pub(super) fn release_held_back(&mut self, kernel: &mut Kernel) {
        for (from, to) in self.network.releasable() {
            let now = kernel.now();
            for envelope in self.network.release(from, to, now, &mut kernel.random) {
                self.transmit(kernel, envelope);
            }
        }
    }

    /// Delivers a message, unless its link was blocked meanwhile, it is addressed to another
    /// incarnation of the receiver's disk, or a newer connection has already delivered a message.
    pub(crate) fn deliver(&mut self, envelope: PeerEnvelope) -> Delivery {
        let (sender, receiver) = (envelope.from, envelope.to.node());
        if self.network.is_blocked(sender.node, receiver) {
            self.network.hold_back(envelope);
            return Delivery::Deferred;
        }
        let Some(machine) = self.machines.get(&receiver) else {
            return Delivery::Deferred;
        };
        if !envelope.to.matches(machine.voter()) {
            return Delivery::OtherIncarnation {
                receiver,
                sender: sender.node,
            };
        }
        let pair = (receiver, sender.node);
        let connection = envelope.connection;
        let newest = self.newest_connections.get(&pair);
        if newest.is_some_and(|newest| *newest > connection) {
            return Delivery::Deferred;
        }
        let event = ControlEvent::PeerMessageArrived(envelope);
        let Some(ControlEvent::PeerMessageArrived(envelope)) = self.admit(event) else {
            return Delivery::Deferred;
        };
        self.newest_connections.insert(pair, connection);
        Delivery::Accepted {
            receiver,
            sender,
            message: envelope.message,
        }
    }
}
