//! The pool's way to the decisions on coming back, where settings turn these on: whether a connection may be
//! opened now, how long one may take, how many are kept.

use crate::execute::Router;
use badgerstream_routing::recovery::Recovery;
use std::rc::Rc;

type Ask<'a> = &'a mut dyn FnMut(&mut Recovery, f64);

/// Asks, and tells whether there was anybody to be asked.
pub(crate) struct Gate(Box<dyn Fn(bool, Ask<'_>) -> bool>);

impl Gate {
    pub(crate) fn of(desk: &Rc<Router>) -> Gate {
        let desk = desk.clone();
        Gate(Box::new(move |tells, ask| {
            desk.recovery(tells, ask).is_some()
        }))
    }

    /// Nothing is ever held back.
    #[cfg(test)]
    pub(crate) fn open() -> Gate {
        Gate(Box::new(|_, _| false))
    }

    fn through<T>(&self, tells: bool, ask: impl FnOnce(&mut Recovery, f64) -> T) -> Option<T> {
        let (mut ask, mut told) = (Some(ask), None);
        (self.0)(tells, &mut |recovery, now| {
            if let Some(ask) = ask.take() {
                told = Some(ask(recovery, now));
            }
        });
        told
    }

    /// None where nothing is held back.
    pub(crate) fn ask<T>(&self, ask: impl FnOnce(&mut Recovery, f64) -> T) -> Option<T> {
        self.through(false, ask)
    }

    /// Tells a fact by which what waits elsewhere may go on.
    pub(crate) fn tell(&self, fact: impl FnOnce(&mut Recovery, f64)) {
        self.through(true, fact);
    }
}
