//! Unit tests of single rules, property tests of any number of routers in any order of events, and a model checker
//! over every order of events of two routers.

mod fleet;
mod model;
mod rules;

use crate::{Recovery, Settings};

/// Start of each test, in seconds of Unix time as on the router's clock.
pub(crate) const START: f64 = 1_800_000_000.0;

pub(crate) fn settings() -> Settings {
    Settings {
        held_field: "held".into(),
        opened_field: "opened".into(),
        ..Settings::default()
    }
}

/// Settings that name all routers, so that slots are assigned exactly.
pub(crate) fn settings_naming(routers: usize) -> Settings {
    Settings {
        routers: (0..routers).map(name).collect(),
        ..settings()
    }
}

pub(crate) fn name(router: usize) -> String {
    format!("r-{router:03}")
}

/// Router `number` of `routers`, which has just started and knows `nodes` nodes.
pub(crate) fn started(settings: Settings, routers: usize, number: usize, nodes: u32) -> Recovery {
    let mut recovery = Recovery::new(
        START,
        settings,
        number as u64,
        routers as f64,
        &name(number),
    );
    (0..nodes).for_each(|node| recovery.node_listed(node, &format!("node-{node}")));
    recovery
}
