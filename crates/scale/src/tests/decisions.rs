//! The decisions by themselves, at a small size.

use crate::decisions::{Decisions, run};
use crate::plan::{Net, Plan};

/// All parts come to their end, and a renewal carries nothing of the primaries while control hears these itself, however many
/// a router could tell of.
#[test]
fn renewals_of_a_calm_system_carry_no_evidence() {
    let plan = Plan::new(Net([127, 9]), 5, 4, Vec::new()).unwrap();
    let bytes = |evidence: usize| {
        let mut lines = Vec::new();
        run(&plan, evidence, 1.0, &mut |line| lines.push(line)).unwrap();
        assert_eq!(lines.len(), 3, "{lines:#?}");
        let word =
            lines[0].split(' ').find_map(|w| w.strip_prefix("session_out_bytes_s=")).unwrap().to_owned();
        word.parse::<f64>().unwrap()
    };
    let (none, some) = (bytes(0), bytes(4));
    // 3.3 renewals a second, each with a name, a ballot and a few numbers.
    assert!(none > 0.0 && some == none && none < 3.4 * 60.0, "{none} {some}");
}

/// Before anybody leads, nothing is taken and nobody is ready.
#[test]
fn nothing_is_taken_before_somebody_leads() {
    let plan = Plan::new(Net([127, 9]), 2, 1, Vec::new()).unwrap();
    let mut play = Decisions::new(&plan, 1);
    assert!(!play.configure(&plan, 1, 10));
    assert_eq!((play.ready(0), play.granted()), (0, 0));
}
