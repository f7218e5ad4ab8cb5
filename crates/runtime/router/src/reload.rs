//! Reloads the start file and the settings at SIGHUP and applies changes without interrupting statements.

use crate::budget::Budget;
use crate::execute::StatementDispatcher;
use crate::spawn::Tasks;
use crate::watch::{self, NodeRegistry};
use async_channel::Sender;
use async_executor::Task;
use async_signal::{Signal, Signals};
use badgerstream_router_config::{RouterSettings, StartConfig};
use futures_lite::StreamExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The current discovery watch, and the one that replaces it once it has received something; until then the node
/// list must stay up to date from the current one.
pub(crate) struct Watches {
    tasks: Tasks,
    dispatcher: Rc<StatementDispatcher>,
    registry: Rc<NodeRegistry>,
    seq: Rc<Cell<u64>>,
    address: Cell<SocketAddr>,
    current: RefCell<Option<Task<()>>>,
    next: RefCell<Option<Task<()>>>,
}

impl Watches {
    /// Starts the first watch, which sends to `first_answer` at its first answer.
    pub(crate) fn start(
        tasks: Tasks,
        dispatcher: Rc<StatementDispatcher>,
        registry: Rc<NodeRegistry>,
        address: SocketAddr,
        seq: u64,
        first_answer: Sender<()>,
    ) -> Rc<Watches> {
        let (current, next) = (RefCell::default(), RefCell::default());
        let seq = Rc::new(Cell::new(seq));
        let watches = Watches {
            tasks,
            dispatcher,
            registry,
            seq,
            address: Cell::new(address),
            current,
            next,
        };
        let first = watches.watch(address, move || {
            let _ = first_answer.try_send(());
        });
        *watches.current.borrow_mut() = Some(first);
        Rc::new(watches)
    }

    fn watch(&self, address: SocketAddr, on_answer: impl Fn() + 'static) -> Task<()> {
        let watch = watch::watch(
            self.dispatcher.clone(),
            self.registry.clone(),
            address,
            self.seq.clone(),
            on_answer,
        );
        self.tasks.spawn("discovery", watch)
    }

    /// Sets the address of discovery. The current watch continues until the new one receives something; an earlier
    /// replacement that has received nothing ends.
    pub(crate) fn set_address(self: &Rc<Self>, address: SocketAddr) {
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

    /// Replaces the current watch by the next one, which has received something.
    fn adopt(&self, address: SocketAddr) {
        if let Some(next) = self.next.take() {
            tracing::info!("now watching discovery at {address}");
            // Dropping the task of the previous watch ends it.
            self.current.replace(Some(next));
        }
    }
}

/// Reloads the files at each SIGHUP, while the router runs.
pub(crate) async fn reload(
    mut signals: Signals,
    started: StartConfig,
    read: impl Fn() -> Result<(StartConfig, RouterSettings), String>,
    watches: Rc<Watches>,
    budget: Rc<Budget>,
) {
    while signals.next().await.is_some() {
        match read() {
            Ok((reloaded, router_settings)) => {
                watches.dispatcher.update(|instance, now| {
                    instance.configure_succession(router_settings.succession, reloaded.seed);
                    instance.set_restart_pacing(
                        now,
                        router_settings.recovery,
                        reloaded.seed,
                        &started.name,
                    );
                    instance.set_fleet_sharing(router_settings.fleet, reloaded.seed, &started.name);
                    watches.registry.name_all(instance);
                });
                watches.set_address(reloaded.discovery);
                budget.resize(reloaded.descriptors);
                tracing::info!(
                    "the file was read again, discovery is at {}",
                    reloaded.discovery
                );
                let fixed = [
                    ("name", started.name != reloaded.name),
                    ("listen", started.listen != reloaded.listen),
                    ("limits.memory_mb", started.memory_mb != reloaded.memory_mb),
                    ("settings", started.settings != reloaded.settings),
                ];
                for (field, _) in fixed.iter().filter(|f| f.1) {
                    tracing::warn!(
                        "{field} has changed in the file: that needs a restart; until then the old value stays in use"
                    );
                }
            }
            Err(problem) => {
                tracing::error!(
                    "the file was not taken, the router keeps its configuration: {problem}"
                );
            }
        }
    }
}

/// Registers the handler for SIGHUP; without a handler the signal would terminate the process.
pub(crate) fn hangup_signals() -> Result<Signals, String> {
    Signals::new([Signal::Hup]).map_err(|e| format!("registering a handler for SIGHUP failed: {e}"))
}
