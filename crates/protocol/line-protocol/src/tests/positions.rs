//! Tests of log positions.

use arbtest::arbtest;

use crate::{Position, PositionError};

#[test]
fn positions_parse_back_and_compare_by_term_first() {
    arbtest(|random| {
        let first = Position {
            term: random.arbitrary()?,
            number: random.arbitrary()?,
        };
        let second = Position {
            term: random.arbitrary()?,
            number: random.arbitrary()?,
        };
        assert_eq!(first.to_string().parse(), Ok(first));
        assert_eq!(
            first < second,
            (first.term, first.number) < (second.term, second.number)
        );
        Ok(())
    });
    for invalid in [
        "",
        "-",
        "3",
        "3.",
        ".3",
        "3.4.5",
        "+3.4",
        "3.-4",
        "99999999999999999999.1",
    ] {
        assert_eq!(invalid.parse::<Position>(), Err(PositionError), "{invalid}");
    }
}
