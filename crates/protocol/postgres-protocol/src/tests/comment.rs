use super::READ;
use crate::comment::Statement;
use test_case::test_case;

const WRITE: &str = "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f03') RETURNING v \
                     /* id=9b1f,c=order,t=acme,d=480,k=5c0f,cluster=2 */";

#[test]
fn a_read_is_parsed() {
    let s = Statement::parse(&READ.replace("d=480", "d=480,after=1767225600123")).unwrap();
    assert_eq!(
        (s.writes, s.key.as_str(), s.mark.is_some()),
        (false, "7f3a", false)
    );
    assert_eq!(
        (s.workload.as_str(), s.customer.as_str(), s.group),
        ("basket", "acme", 2)
    );
    assert_eq!((s.wait_s, s.after), (0.48, Some(1_767_225_600.123)));
}

#[test]
fn a_write_is_parsed() {
    let s = Statement::parse(WRITE).unwrap();
    assert_eq!(
        (s.writes, s.key.as_str(), s.mark.is_some(), s.after),
        (true, "7f3a", true, None)
    );
}

#[test]
fn the_text_for_a_node_differs_only_in_the_wait() {
    let s = Statement::parse(WRITE).unwrap();
    assert_eq!(s.for_node(0.1239), WRITE.replace("d=480", "d=123"));
    assert_eq!(
        s.for_node(0.0),
        WRITE.replace("d=480", "d=1"),
        "the minimum is 1 ms"
    );
}

#[test_case("SHOW vitals", "0A000"; "a probe from a client")]
#[test_case("SELECT 1", "0A000"; "another read")]
#[test_case("BEGIN", "0A000"; "a transaction")]
#[test_case("SELECT v FROM records WHERE k = '7f3a'", "42601"; "no comment")]
#[test_case("SELECT v FROM records WHERE k = '7f3a' OR '1'='1' /* id=9,c=b,d=480,cluster=2 */", "42601"; "more")]
#[test_case("SELECT v FROM records WHERE k = '7f''3a' /* id=9,c=b,d=480,cluster=2 */", "42601"; "a quote")]
#[test_case("SELECT v FROM records WHERE k = '' /* id=9,c=b,d=480,cluster=2 */", "42601"; "no key")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=480,cluster=2 */; DELETE", "42601"; "two statements")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9 */ /* c=b,d=480,cluster=2 */", "42601"; "two comments")]
#[test_case("SELECT v FROM records WHERE k = '7' /*/", "42601"; "a comment that only seems to end")]
#[test_case("SELECT v FROM records WHERE k = '7' /* c=b,d=480,cluster=2 */", "42601"; "no id")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,d=480,cluster=2 */", "42601"; "no workload")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,cluster=2 */", "42601"; "no wait")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=480 */", "42601"; "no group")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,id=8,c=b,d=480,cluster=2 */", "42601"; "a mark twice")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=,d=480,cluster=2 */", "42601"; "an empty mark")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=0,cluster=2 */", "22023"; "no time")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=-5,cluster=2 */", "22023"; "a time gone by")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=99999999999999999999,cluster=2 */", "22023"; "absurd")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=480,cluster=70000 */", "22023"; "no such number")]
#[test_case("SELECT v FROM records WHERE k = '7' /* id=9,c=b,d=480,cluster=2,after=x */", "22023"; "no position")]
#[test_case("INSERT INTO records (k, v) VALUES ('7', '\\x9g') RETURNING v /* id=9,c=b,d=480,cluster=2 */", "22P02"; "no hex")]
#[test_case("INSERT INTO records (k, v) VALUES ('7', '\\x9f') /* id=9,c=b,d=480,cluster=2 */", "42601"; "returns nothing")]
fn an_invalid_statement_is_rejected(text: &str, code: &str) {
    assert_eq!(Statement::parse(text).unwrap_err().0, code);
}

#[test]
fn unknown_marks_are_ignored() {
    assert!(Statement::parse(&READ.replace("id=", "r=1,new=x,id=")).is_ok());
}
