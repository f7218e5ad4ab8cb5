//! Checks that a configuration change has one outcome, and that a read is not older than the newest
//! change that was acknowledged before it.

use super::safety::Safety;
use crate::control::ControlCluster;
use crate::digest::EntryKind;
use crate::kernel::Kernel;
use crate::operators::{ChangeOutcome, ConfigChange, config_epoch};
use badgerstream_control::State;

impl Safety {
    /// Checks that an acknowledged change was not rejected before, and that no other change with
    /// the same epoch or base epoch was acknowledged.
    pub(super) fn check_acknowledged(
        &mut self,
        kernel: &mut Kernel,
        changes: &mut [ConfigChange],
        index: usize,
    ) {
        let now = kernel.now();
        let change = &changes[index];
        kernel.trace(|| format!("change {index} is acknowledged"));
        let numbers = [index as u64, change.epoch];
        kernel.record(EntryKind::ConfigChangeAcknowledged, &numbers);
        assert_ne!(
            change.outcome,
            ChangeOutcome::Rejected,
            "{now}: change {index} was rejected before"
        );
        let rival = changes.iter().enumerate().find(|(other, rival)| {
            *other != index
                && rival.outcome == ChangeOutcome::Acknowledged
                && (rival.base_epoch == change.base_epoch || rival.epoch == change.epoch)
        });
        assert!(
            rival.is_none(),
            "{now}: changes {index} {change:?} and {rival:?} were both acknowledged"
        );
        let change = &mut changes[index];
        if change.outcome == ChangeOutcome::Pending {
            change.outcome = ChangeOutcome::Acknowledged;
            change.acknowledged_at = now;
            self.acknowledged_changes += 1;
        }
    }
}

/// Checks that the committed state does not contain a rejected change.
pub(super) fn check_not_rejected(state: &State, changes: &[ConfigChange], now: f64) {
    let rejected = changes.iter().find(|change| {
        change.outcome == ChangeOutcome::Rejected
            && change.epoch == state.config_epoch
            && change.body == state.config
    });
    assert!(
        rejected.is_none(),
        "{now}: a rejected change is committed: {rejected:?}"
    );
}

/// Checks that a rejected change was not acknowledged before, and is not committed.
pub(super) fn check_rejected(
    kernel: &mut Kernel,
    control: &ControlCluster,
    changes: &mut [ConfigChange],
    index: usize,
    status: u16,
) {
    let now = kernel.now();
    kernel.trace(|| format!("change {index} is rejected with {status}"));
    let change = &mut changes[index];
    let numbers = [index as u64, change.epoch, u64::from(status)];
    kernel.record(EntryKind::ConfigChangeRejected, &numbers);
    assert_ne!(
        change.outcome,
        ChangeOutcome::Acknowledged,
        "{now}: change {index} was acknowledged before, and is now rejected with {status}"
    );
    change.outcome = ChangeOutcome::Rejected;
    let is_committed = control
        .newest_committed_state()
        .is_some_and(|state| state.config_epoch == change.epoch && state.config == change.body);
    assert!(
        !is_committed,
        "{now}: change {index} is committed and rejected"
    );
}

/// Checks that a read is not older than the newest change acknowledged before the request, and that
/// it returns a change that was sent and not rejected.
pub(super) fn check_read(kernel: &mut Kernel, changes: &[ConfigChange], since: f64, body: &[u8]) {
    let now = kernel.now();
    let epoch = config_epoch(body);
    kernel.record(EntryKind::ConfigRead, &[epoch]);
    let before = changes
        .iter()
        .filter(|change| change.acknowledged_at < since);
    let newest = before.map(|change| change.epoch).max().unwrap_or(0);
    assert!(
        epoch >= newest,
        "{now}: a read returned epoch {epoch}, but epoch {newest} was acknowledged before"
    );
    let was_sent = changes.iter().any(|change| *change.body == *body);
    assert!(
        epoch == 0 || was_sent,
        "{now}: a read returned a configuration of epoch {epoch} that was never sent"
    );
    let rejected = changes
        .iter()
        .find(|change| change.outcome == ChangeOutcome::Rejected && *change.body == *body);
    assert!(
        rejected.is_none(),
        "{now}: a read returned a rejected change: {rejected:?}"
    );
}
