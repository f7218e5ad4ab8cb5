//! The pool's access to restart pacing, if the settings enable it: whether a connection may be opened now, its
//! connect timeout, and how many idle connections to keep.

use crate::execute::StatementDispatcher;
use badgerstream_routing::recovery::Recovery;
use std::rc::Rc;

type Access<'a> = &'a mut dyn FnMut(&mut Recovery, f64);

/// Holds a function that runs a closure on the restart pacing state and returns whether pacing is enabled. Its flag
/// says whether the dispatcher must settle afterwards.
pub(crate) struct RestartPacing(Box<dyn Fn(bool, Access<'_>) -> bool>);

impl RestartPacing {
    pub(crate) fn for_dispatcher(dispatcher: &Rc<StatementDispatcher>) -> RestartPacing {
        let dispatcher = dispatcher.clone();
        RestartPacing(Box::new(move |changes, access| {
            dispatcher.recovery(changes, access).is_some()
        }))
    }

    /// Restart pacing that is switched off.
    #[cfg(test)]
    pub(crate) fn disabled() -> RestartPacing {
        RestartPacing(Box::new(|_, _| false))
    }

    fn access<T>(&self, changes: bool, access: impl FnOnce(&mut Recovery, f64) -> T) -> Option<T> {
        let (mut access, mut result) = (Some(access), None);
        (self.0)(changes, &mut |recovery, now| {
            if let Some(access) = access.take() {
                result = Some(access(recovery, now));
            }
        });
        result
    }

    /// Returns the query's result, or `None` if restart pacing is off.
    pub(crate) fn query<T>(&self, query: impl FnOnce(&mut Recovery, f64) -> T) -> Option<T> {
        self.access(false, query)
    }

    /// Records an event after which statements that wait may proceed.
    pub(crate) fn record(&self, event: impl FnOnce(&mut Recovery, f64)) {
        self.access(true, event);
    }
}
