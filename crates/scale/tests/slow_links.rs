//! Routers behind slow links: what is to be told takes longer on a link than a router waits for an answer.

use badgerstream_scale::plan::{Net, Plan};
use badgerstream_scale::run::{self, Wanted};
use std::path::Path;

/// Sixty services, their servers and their configuration on 0.1 Mbit/s: every router comes to its lease, to each
/// configuration and to the next leader, each within its limit, without coming again and again on new connections.
#[test]
fn routers_on_slow_links_are_served() {
    let folder = std::env::temp_dir().join(format!("badgerscale-slow-{}", std::process::id()));
    let plan = Plan::new(Net([127, 203]), 12, 60, Vec::new()).unwrap();
    let link = Some(0.1e6 / 8.0);
    let wanted = Wanted { evidence: 60, seconds: 2.0, changes: 1, crashes: 0, limit: 20.0, link };
    let mut lines = Vec::new();
    let program = Path::new(env!("CARGO_BIN_EXE_badgerscale"));
    let ended = run::run(&plan, wanted, &folder, program, &mut |line| lines.push(line));
    assert_eq!(ended, Ok(()), "logs in {}; {lines:#?}", folder.display());
    let calm = lines.iter().find(|l| l.starts_with("what=calm ")).unwrap();
    assert!(calm.contains(" connects=0 "), "{calm}");
    std::fs::remove_dir_all(&folder).unwrap();
}
