//! A whole small run: three control processes, twenty hollow routers, two services. Whatever is waited for has a limit.

use badgerstream_scale::plan::{Net, Plan};
use badgerstream_scale::run::{self, Wanted};
use std::path::Path;

/// All parts come to their end, each within its limit, and tell what they measured.
#[test]
fn a_small_run_comes_to_its_end() {
    let folder = std::env::temp_dir().join(format!("badgerscale-test-{}", std::process::id()));
    // Own addresses, in case somebody measures at the same time.
    let plan = Plan::new(Net([127, 202]), 20, 2, Vec::new()).unwrap();
    let wanted = Wanted { evidence: 2, seconds: 0.2, changes: 2, crashes: 1, limit: 20.0, link: None };
    let mut lines = Vec::new();
    let program = Path::new(env!("CARGO_BIN_EXE_badgerscale"));
    let ended = run::run(&plan, wanted, &folder, program, &mut |line| lines.push(line));
    assert_eq!(ended, Ok(()), "logs in {}", folder.display());
    let parts: Vec<&str> = lines.iter().filter_map(|l| l.split(' ').next()).collect();
    assert_eq!(parts, ["what=start", "what=calm", "what=changes", "what=primary_change", "what=leader_end"]);
    assert!(lines.iter().all(|l| l.contains(" routers=20 services=2 ") && !l.contains("NaN")), "{lines:#?}");
    std::fs::remove_dir_all(&folder).unwrap();
}
