//! Shared by the tests: a `Succession` with one group, and requests for admission.

mod change;
mod model;
mod parts;
mod sequences;
mod terms;

use crate::{Admission, AdmissionRequest, Evidence, HoldSize, Settings, Succession};

pub(crate) const G: u16 = 4;
pub(crate) const A: u32 = 1;
pub(crate) const B: u32 = 2;
pub(crate) const C: u32 = 3;

/// Limits of four held statements for a group and six in total; expected changes of 2 s.
pub(crate) fn settings() -> Settings {
    Settings {
        hold: HoldSize {
            statements: 6,
            bytes: 600,
        },
        hold_group: HoldSize {
            statements: 4,
            bytes: 400,
        },
        longest_hold_ms: 20_000.0,
        expected_change_ms: 2_000.0,
        release_spread_ms: 0.0,
        ..Settings::default()
    }
}

/// Returns a state in which A leads and has been settled since 10 s.
pub(crate) fn with_settled_leader(settings: Settings) -> Succession {
    let mut succession = Succession::new(settings, 7, 1.0);
    succession.observe(9.0, G, A, Evidence::Leads { at: 9.0 });
    succession.settle(10.0);
    assert!(succession.is_settled(G));
    succession
}

/// A request of 100 bytes with a deadline 10 s after its arrival.
pub(crate) fn request(session: u64, arrived: f64) -> AdmissionRequest {
    AdmissionRequest {
        group: G,
        session,
        bytes: 100,
        worth: 1.0,
        arrived,
        deadline: arrived + 10.0,
        ..AdmissionRequest::default()
    }
}

/// Asks for the admission of statements `1..=count`, each of its own session, in this order; those admitted are sent.
pub(crate) fn request_all(succession: &mut Succession, now: f64, count: u32) -> Vec<Admission> {
    let admit = |stmt: u32| {
        let admission = succession.admit(
            now,
            stmt,
            &request(u64::from(stmt), 10.0 + f64::from(stmt) / 1e3),
        );
        if admission == Admission::Send {
            succession.record_sent(stmt);
        }
        admission
    };
    (1..=count).map(admit).collect()
}
