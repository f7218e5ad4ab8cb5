//! SIGHUP: the file is read again, and what changed in it takes effect without an end to anything.

use crate::budget::Budget;
use crate::execute::Router;
use crate::spawn::Tasks;
use crate::watch::{self, Roster};
use async_channel::Sender;
use async_executor::Task;
use async_signal::{Signal, Signals};
use badgerstream_router_config::{Own, Provision};
use futures_lite::StreamExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The watch that tells the list, and the one that is to take its place once it has told something: until
/// then the list must go on from where it comes now.
pub(crate) struct Watches {
    tasks: Tasks,
    desk: Rc<Router>,
    roster: Rc<Roster>,
    seq: Rc<Cell<u64>>,
    address: Cell<SocketAddr>,
    current: RefCell<Option<Task<()>>>,
    next: RefCell<Option<Task<()>>>,
}

impl Watches {
    /// Begins with the first watch, which tells `heard` of its first answer.
    pub(crate) fn begin(
        tasks: Tasks,
        desk: Rc<Router>,
        roster: Rc<Roster>,
        address: SocketAddr,
        seq: u64,
        heard: Sender<()>,
    ) -> Rc<Watches> {
        let (current, next) = (RefCell::default(), RefCell::default());
        let (seq, told) = (Rc::new(Cell::new(seq)), address);
        let watches = Watches {
            tasks,
            desk,
            roster,
            seq,
            address: Cell::new(told),
            current,
            next,
        };
        let first = watches.watch(address, move || {
            let _ = heard.try_send(());
        });
        *watches.current.borrow_mut() = Some(first);
        Rc::new(watches)
    }

    fn watch(&self, address: SocketAddr, heard: impl Fn() + 'static) -> Task<()> {
        let watch = watch::watch(
            self.desk.clone(),
            self.roster.clone(),
            address,
            self.seq.clone(),
            heard,
        );
        self.tasks.spawn("discovery", watch)
    }

    /// Discovery is there now. A watch that never told anything ends; the one in use goes on until the new one
    /// tells something.
    pub(crate) fn moved(self: &Rc<Self>, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        let watches = Rc::downgrade(self);
        let next = self.watch(address, move || {
            if let Some(watches) = watches.upgrade() {
                watches.adopt(address);
            }
        });
        self.next.replace(Some(next));
    }

    /// The next watch has told something: it is the one in use from now on.
    fn adopt(&self, address: SocketAddr) {
        if let Some(next) = self.next.take() {
            tracing::info!("discovery is watched at {address} now");
            // The one before it ends with its task.
            self.current.replace(Some(next));
        }
    }
}

/// Reads the file anew at each signal, for as long as the router runs.
pub(crate) async fn reload(
    mut signals: Signals,
    started: Provision,
    read: impl Fn() -> Result<(Provision, Own), String>,
    watches: Rc<Watches>,
    budget: Rc<Budget>,
) {
    while signals.next().await.is_some() {
        match read() {
            Ok((told, own)) => {
                watches.desk.tell(|instance, now| {
                    instance.configure_succession(own.succession, told.seed);
                    instance.set_restart_pacing(now, own.recovery, told.seed, &started.name);
                    instance.set_fleet_sharing(own.fleet, told.seed, &started.name);
                    watches.roster.name_all(instance);
                });
                watches.moved(told.discovery);
                budget.resize(told.descriptors);
                tracing::info!(
                    "the file was read again, discovery is at {}",
                    told.discovery
                );
                let fixed = [
                    ("name", started.name != told.name),
                    ("listen", started.listen != told.listen),
                    ("limits.memory_mb", started.memory_mb != told.memory_mb),
                    ("settings", started.pairs != told.pairs),
                ];
                for (field, _) in fixed.iter().filter(|f| f.1) {
                    tracing::warn!("{field} has changed in the file: that needs a restart");
                }
            }
            Err(problem) => {
                tracing::error!("the file was not taken, all goes on as before: {problem}");
            }
        }
    }
}

/// To be called before anybody may send SIGHUP: unheard, it would end the process.
pub(crate) fn signals() -> Result<Signals, String> {
    Signals::new([Signal::Hup]).map_err(|e| format!("SIGHUP can't be heard: {e}"))
}
