//! The rules one by one, then any number of routers in any order, then every order of a few.

mod fleet;
mod model;
mod rules;

use crate::{Recovery, Settings};

/// Seconds of Unix time, as the front's clock has it.
pub(crate) const START: f64 = 1_800_000_000.0;

pub(crate) fn settings() -> Settings {
    Settings {
        held_field: "held".into(),
        opened_field: "opened".into(),
        ..Settings::default()
    }
}

/// Named routers, so that turns are exact.
pub(crate) fn named(routers: usize) -> Settings {
    Settings {
        routers: (0..routers).map(name).collect(),
        ..settings()
    }
}

pub(crate) fn name(router: usize) -> String {
    format!("r-{router:03}")
}

/// One of so many routers that has just started and knows these nodes.
pub(crate) fn born(settings: Settings, routers: usize, number: usize, nodes: u32) -> Recovery {
    let mut born = Recovery::new(
        START,
        settings,
        number as u64,
        routers as f64,
        &name(number),
    );
    (0..nodes).for_each(|node| born.named(node, &format!("node-{node}")));
    born
}
