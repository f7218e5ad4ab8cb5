//! Tests for the strict check of JSON texts.

use arbtest::arbitrary::{Result as ArbitraryResult, Unstructured};
use arbtest::arbtest;

use crate::json::check;

/// Returns a random JSON value with at most `depth` levels of nesting.
fn random_value(random: &mut Unstructured<'_>, depth: usize) -> ArbitraryResult<String> {
    let kinds = if depth == 0 { 2 } else { 4 };
    Ok(match random.int_in_range(0..=kinds - 1)? {
        0 => (*random.choose(&[
            "0", "-0", "17", "-1.5", "2e+3", "1E-2", "true", "false", "null",
        ])?)
        .to_owned(),
        1 => {
            (*random.choose(&[r#""""#, r#""é""#, r#""a\"\\\u00e9\n""#, r#""{[,:]}""#])?).to_owned()
        }
        kind => {
            let mut items = Vec::new();
            for index in 0..random.int_in_range(0..=3)? {
                let value = random_value(random, depth - 1)?;
                items.push(if kind == 2 {
                    value
                } else {
                    format!("\"k{index}\" :\t{value}")
                });
            }
            let (open, close) = if kind == 2 { ('[', ']') } else { ('{', '}') };
            format!("{open}\n{}\r{close}", items.join(" , "))
        }
    })
}

#[test]
fn complete_values_pass_and_cut_ones_do_not() {
    arbtest(|random| {
        let value = random_value(random, 4)?;
        assert_eq!(check(value.as_bytes()), Ok(()), "{value}");
        // A number without its last digits may still be a number.
        if value.starts_with(['{', '[', '"']) {
            let cut = &value.as_bytes()[..random.choose_index(value.len())?];
            assert!(check(cut).is_err(), "{}", String::from_utf8_lossy(cut));
        }
        let doubled = format!("{value} {value}");
        assert!(check(doubled.as_bytes()).is_err(), "{doubled}");
        Ok(())
    });
}

#[test]
fn invalid_json_is_rejected_with_its_offset() {
    let cases: [(&str, &str); 22] = [
        ("", "byte 0: unexpected end of text"),
        ("{", "byte 1: unexpected end of text"),
        ("{}x", "byte 2: unexpected text after the value"),
        ("{}{}", "byte 2: unexpected text after the value"),
        ("[1,]", "byte 3: expected a value"),
        (r#"{"a":1,}"#, "byte 7: expected a key in double quotes"),
        (r#"{"a" 1}"#, "byte 5: expected a colon after the key"),
        (r#"{"a":}"#, "byte 5: expected a value"),
        (r#"{a:1}"#, "byte 1: expected a key in double quotes"),
        (
            r#"{"a":1 "b":2}"#,
            "byte 7: expected a comma or a closing bracket",
        ),
        (r#"{"a":1,"a":2}"#, "byte 7: duplicate key"),
        ("[1}", "byte 2: expected a comma or a closing bracket"),
        ("[01]", "byte 2: expected a comma or a closing bracket"),
        ("[+1]", "byte 1: expected a value"),
        ("[1.]", "byte 3: expected a digit"),
        ("[.5]", "byte 1: expected a value"),
        ("[tru]", "byte 4: expected a value"),
        ("[NaN]", "byte 1: expected a value"),
        ("[1]// no", "byte 3: unexpected text after the value"),
        (r#"["\x"]"#, "byte 3: invalid escape sequence"),
        ("[\"a\nb\"]", "byte 3: control character in a string"),
        ("[\"a\0b\"]", "byte 3: control character in a string"),
    ];
    for (text, error) in cases {
        assert_eq!(
            check(text.as_bytes()).map_err(|e| e.to_string()),
            Err(error.to_owned()),
            "{text:?}"
        );
    }
}

#[test]
fn depth_is_limited() {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    assert_eq!(check(nested(32).as_bytes()), Ok(()));
    assert!(check(nested(33).as_bytes()).is_err());
    assert!(check("[".repeat(1 << 20).as_bytes()).is_err());
}
