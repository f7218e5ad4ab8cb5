//! The record on disk.

use super::*;

impl Control {
    pub(super) fn save(&self) -> Result<(), badgerstream_store::StoreError> {
        let controller = self.controller.borrow();
        let record = controller.record();
        let mut kept = self.kept.borrow_mut();
        let next = badgerstream_store::Record {
            promised: record.promised.0,
            accepted: record.accepted.0,
            value: record.state.bytes(),
            identity: kept.identity,
        };
        if *kept != next {
            let mut store = self.store.borrow_mut();
            if next.accepted == kept.accepted && next.value == kept.value {
                store.promise(next.promised)?;
            } else {
                store.save(&next)?;
            }
            *kept = next;
        }
        Ok(())
    }
}
