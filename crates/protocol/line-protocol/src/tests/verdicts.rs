use crate::Verdict;

#[test]
fn only_what_is_idempotent_or_has_not_run_is_sent_again() {
    for verdict in [Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun] {
        assert!(verdict.permits_retry(true));
        assert_eq!(
            verdict.permits_retry(false),
            verdict == Verdict::NotRun,
            "{verdict:?}"
        );
    }
}
