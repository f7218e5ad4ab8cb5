//! One judge for every run of the rig: the five rules by the ledger and by what each side saw, then figures. It
//! reads what a run left behind and touches nothing that runs.

mod figures;
mod plot;
mod rules;
mod way;

pub use figures::{Figures, OfNode, Window};
pub use plot::plot;
pub use rules::Broken;

use crate::play::{Evidence, What};
use serde::Serialize;

#[derive(Debug, Serialize)]
pub struct Verdict {
    pub broken: Vec<Broken>,
    pub figures: Figures,
}

pub fn judge(evidence: &Evidence) -> Verdict {
    Verdict {
        broken: rules::broken(evidence),
        figures: figures::of(evidence),
    }
}

/// A router could not do its part from the first moment to the second: killed, standing still, or its clients'
/// links at fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    router: usize,
    from_us: u64,
    to_us: u64,
}

/// After it was let go on, a process and its sockets need a moment until they are where others are.
const CATCHING_UP_US: u64 = 300_000;

/// Asked to end, a router takes new statements for so long at most (the platform's own figure).
const ENDING_US: u64 = 700_000;

impl Evidence {
    /// When each router could not be blamed for its clients' waiting.
    pub(crate) fn outages(&self) -> Vec<Outage> {
        let mut outages = Vec::new();
        let patience = (self.script.load.patience_ms * 1e3) as u64;
        for router in 0..self.script.routers {
            let mut began = None;
            for deed in self.deeds.iter().filter(|deed| deed.router == Some(router)) {
                let links = deed.told.starts_with("Clients");
                let to_us = match deed.what {
                    What::Killed | What::Stopped => {
                        began = began.or(Some(deed.at_us));
                        continue;
                    }
                    // Whoever still comes then finds it on its way out.
                    What::Ended => {
                        began = began.or(Some(deed.at_us + ENDING_US));
                        continue;
                    }
                    What::Faulted if links => {
                        began = began.or(Some(deed.at_us));
                        continue;
                    }
                    What::Admitted => deed.at_us,
                    What::Continued => deed.at_us + CATCHING_UP_US,
                    // What was held or lost may be missed for as long as a client waits.
                    What::Healed if links => deed.at_us + patience,
                    _ => continue,
                };
                outages.extend(began.take().map(|from_us| Outage {
                    router,
                    from_us,
                    to_us,
                }));
            }
            outages.extend(began.map(|from_us| Outage {
                router,
                from_us,
                to_us: u64::MAX,
            }));
        }
        outages
    }
}
