//! Batches heartbeats that change nothing except the time at which a server was last seen. Most
//! heartbeats are of this kind; they are sent to the other control machines in batches.

use super::{Controller, Output};
use crate::consensus::Recipient;
use crate::message::{MemberInfo, PeerMessage};

/// Interval between two batches; far below the member timeout.
const BATCH_INTERVAL_S: f64 = 0.25;

/// The servers that were seen again since the last batch was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatBatch {
    members: Vec<MemberInfo>,
    last_sent_at: f64,
}

impl HeartbeatBatch {
    /// Adds a server that was seen again.
    pub(super) fn add(&mut self, member: MemberInfo) {
        self.members.push(member);
    }

    /// Takes the batch, if it is due and not empty.
    fn take_due(&mut self, now: f64) -> Option<Vec<MemberInfo>> {
        if self.members.is_empty() || now - self.last_sent_at < BATCH_INTERVAL_S {
            return None;
        }
        self.last_sent_at = now;
        Some(std::mem::take(&mut self.members))
    }
}

impl Controller {
    /// Sends the batch to the other voters, if it is due.
    pub(super) fn send_heartbeat_batch(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(members) = self.heartbeat_batch.take_due(now) else {
            return;
        };
        for voter in self.other_voters() {
            let message = PeerMessage::MembersUpdate {
                update_id: None,
                members: members.clone(),
            };
            out.push(Output::SendToPeer(Recipient::Voter(voter), message));
        }
    }
}
