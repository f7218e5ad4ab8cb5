//! The record on disk: saved before anything relies on it, and the store opened anew when a save has failed.

use super::Control;
use crate::clock;
use async_io::Timer;
use badgerstream_control::{HardState, NodeId, State, Term};
use badgerstream_control_store::{Fresh, Store, StoreError};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// A store that failed is opened anew this often, in seconds.
const REOPEN: f64 = 0.25;

/// The folder of the record below the one that the settings name.
const FOLDER: &str = "agreed";

/// The store of a control machine, and what it holds.
pub(super) struct Disk {
    folder: PathBuf,
    /// None after a save has failed, until it is opened anew.
    store: Option<Store>,
    identity: u64,
    kept: HardState,
}

impl Disk {
    /// Opens the store below this folder. An empty one belongs to a machine that is told of these control machines, in the
    /// incarnation `identity`.
    pub(super) fn open(folder: &Path, identity: u64, nodes: &[NodeId]) -> Result<Disk, String> {
        let folder = folder.join(FOLDER);
        let (mut store, saved, fresh) =
            Store::open(&folder, identity).map_err(|e| format!("{}: {e}", folder.display()))?;
        let identity = saved.identity;
        let state = match fresh {
            Fresh::New => State::founding(nodes.to_vec()),
            Fresh::Kept => match saved.value.is_empty() {
                true => State::founding(nodes.to_vec()),
                false => State::decode(&saved.value).ok_or("the state on disk can't be read")?,
            },
        };
        if saved.value.is_empty() {
            // What this machine starts from is on its disk before anybody hears of it.
            let first = badgerstream_control_store::Record {
                value: state.encode(),
                ..saved.clone()
            };
            store
                .save(&first)
                .map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let kept = HardState {
            voted_term: Term(saved.promised),
            accepted_term: Term(saved.accepted),
            state: Rc::new(state),
        };
        Ok(Disk {
            folder,
            store: Some(store),
            identity,
            kept,
        })
    }

    /// The incarnation of the disk.
    pub(super) fn identity(&self) -> u64 {
        self.identity
    }

    /// What is on it.
    pub(super) fn kept(&self) -> &HardState {
        &self.kept
    }

    /// Puts this record on the disk. After an error nothing is saved before the store is opened anew.
    pub(super) fn save(&mut self, record: &HardState) -> Result<(), StoreError> {
        let Some(store) = &mut self.store else {
            return Err(StoreError::Closed(self.folder.clone()));
        };
        let (promised, accepted) = (record.voted_term.0, record.accepted_term.0);
        let saved =
            if Rc::ptr_eq(&record.state, &self.kept.state) || record.state == self.kept.state {
                store.save_ballots(promised, accepted)
            } else {
                let value = record.state.encode();
                let identity = self.identity;
                store.save(&badgerstream_control_store::Record {
                    promised,
                    accepted,
                    value,
                    identity,
                })
            };
        match saved {
            Ok(()) => self.kept = record.clone(),
            Err(_) => self.store = None,
        }
        saved
    }

    /// Opens the store anew, and takes what is there as what is kept. It has to be the same disk, and to take bytes.
    fn reopen(&mut self) -> Result<(), String> {
        let text = |e: StoreError| e.to_string();
        let (mut store, saved, fresh) = Store::open(&self.folder, self.identity).map_err(text)?;
        if fresh == Fresh::New || saved.identity != self.identity {
            return Err("the disk was emptied while this process ran".to_owned());
        }
        store.save(&saved).map_err(text)?;
        let state = State::decode(&saved.value).ok_or("the state on disk can't be read")?;
        let state = if state == *self.kept.state {
            self.kept.state.clone()
        } else {
            Rc::new(state)
        };
        self.kept = HardState {
            voted_term: Term(saved.promised),
            accepted_term: Term(saved.accepted),
            state,
        };
        self.store = Some(store);
        Ok(())
    }
}

impl Control {
    /// Puts the record on the disk, and lets the decisions go on from there; gives what is to be done then.
    pub(super) fn save(self: &Rc<Self>) -> Vec<badgerstream_control::Output> {
        let record = self.controller.borrow().hard_state().clone();
        let began = clock::now();
        let saved = self.disk.borrow_mut().save(&record);
        self.counts.persisted(clock::now() - began, saved.is_ok());
        match saved {
            Ok(()) => self.controller.borrow_mut().persisted(clock::now()),
            Err(e) => {
                log::error!("event=disk_failed error={e}");
                self.tasks.spawn(self.clone().reopen()).detach();
                self.controller.borrow_mut().persist_failed(clock::now())
            }
        }
    }

    /// Tries to open the store anew until the disk takes bytes again.
    async fn reopen(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_secs_f64(REOPEN)).await;
            let reopened = self.disk.borrow_mut().reopen();
            match reopened {
                Ok(()) => {
                    log::info!("event=disk_reopened");
                    let record = self.disk.borrow().kept().clone();
                    self.controller
                        .borrow_mut()
                        .disk_reopened(clock::now(), record);
                    return;
                }
                Err(e) => log::warn!("event=disk_still_fails error={e:?}"),
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/disk.rs"]
mod tests;
