//! What the tests share: a succession with one group, and the statements that ask it.

mod change;
mod model;
mod parts;
mod sequences;
mod terms;

use crate::{Evidence, Room, Settings, Succession, Verdict, Wish};

pub(crate) const G: u16 = 4;
pub(crate) const A: u32 = 1;
pub(crate) const B: u32 = 2;
pub(crate) const C: u32 = 3;

/// Room for four statements of a group, six in all; changes take two seconds.
pub(crate) fn settings() -> Settings {
    Settings {
        hold: Room {
            statements: 6,
            bytes: 600,
        },
        hold_group: Room {
            statements: 4,
            bytes: 400,
        },
        longest_hold_ms: 20_000.0,
        expected_change_ms: 2_000.0,
        release_spread_ms: 0.0,
        ..Settings::default()
    }
}

/// A leads and is settled at 10.
pub(crate) fn settled(settings: Settings) -> Succession {
    let mut born = Succession::new(settings, 7, 1.0);
    born.hear(9.0, G, A, Evidence::Leads { at: 9.0 });
    born.settle(10.0);
    assert!(born.settled(G));
    born
}

pub(crate) fn wish(session: u64, arrived: f64) -> Wish {
    Wish {
        group: G,
        session,
        bytes: 100,
        worth: 1.0,
        arrived,
        due: arrived + 10.0,
        ..Wish::default()
    }
}

/// Asks for statements `1..=count` of sessions of their own, in this order; who may go is sent.
pub(crate) fn ask(of: &mut Succession, now: f64, count: u32) -> Vec<Verdict> {
    let ask = |stmt: u32| {
        let verdict = of.admit(
            now,
            stmt,
            &wish(u64::from(stmt), 10.0 + f64::from(stmt) / 1e3),
        );
        if verdict == Verdict::Go {
            of.sent(stmt);
        }
        verdict
    };
    (1..=count).map(ask).collect()
}
