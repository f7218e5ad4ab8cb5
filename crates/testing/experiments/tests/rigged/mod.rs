//! What the hard cases share: a script's play by eight routers as processes, and questions to what it left behind.

mod places;

use badgerstream_process_harness::judge::{self, Verdict};
use badgerstream_process_harness::play::{Deed, Evidence, Setup, What, play};
use badgerstream_process_harness::relay::Route;
use badgerstream_process_harness::router::Program;
use badgerstream_process_harness::script::Script;
use badgerstream_process_harness::store::{Arrived, Kind};
use std::path::{Path, PathBuf};

/// A connection that lasts so long is used: each front has thirty statements a second.
const LASTS_US: u64 = 1_500_000;

pub(crate) struct Played {
    pub evidence: Evidence,
    pub verdict: Verdict,
    folder: PathBuf,
}

fn helper() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_badgerstream-experiments"))
}

/// Eight routers and six nodes of a hard store; `steps` and what else a case needs come as JSON5.
pub(crate) fn script(steps: &str, more: &str) -> Script {
    script_of(8, steps, more)
}

pub(crate) fn script_of(routers: usize, steps: &str, more: &str) -> Script {
    let text = format!(
        "{{store: {{groups: 2, members: 3, service_ms: 10, slots: 2, handshake_ms: 60, cold_ms: 2000, late_ms: 100}},
          routers: {routers}, load: {{per_s: 240, connections: 160, patience_ms: 3000, slo_ms: 1500, retries: 5}},
          calm_ms: 2000, for_ms: 7000, notice_ms: 300, {more}
          steps: [{steps}]}}"
    );
    Script::read(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

/// A play during which the machine kept the rig waiting for longer says nothing of the routers: it is played again,
/// with no other beside it. Rules leave slack for more than such a run delay.
const STOOD_STILL_MS: u64 = 120;
const RUN_DELAY_MS: u64 = 250;
const TRIES: usize = 6;

fn disturbed(evidence: &Evidence) -> bool {
    evidence.stood_still_ms > STOOD_STILL_MS || evidence.run_delay_ms > RUN_DELAY_MS
}

/// The seed of a case that is played once.
pub(crate) const SEED: u64 = 3;

pub(crate) fn played(name: &str, script: &Script, own: Option<&str>) -> Played {
    played_with(SEED, name, script, own)
}

/// The first play that the machine left undisturbed; after so many tries, the one that it disturbed least.
pub(crate) fn played_with(seed: u64, name: &str, script: &Script, own: Option<&str>) -> Played {
    let mut least: Option<Played> = None;
    for number in 0..TRIES {
        let alone = number > 0;
        let played = places::with(alone, || {
            once(seed, &format!("{name}/{number}"), script, own)
        });
        let Evidence {
            stood_still_ms,
            run_delay_ms,
            ..
        } = played.evidence;
        if !disturbed(&played.evidence) {
            return played;
        }
        println!(
            "{name}: of half a second a thread had no processor for {run_delay_ms} ms, the rig stood still for {stood_still_ms} ms"
        );
        if least
            .as_ref()
            .is_none_or(|least| run_delay_ms < least.evidence.run_delay_ms)
        {
            least = Some(played);
        }
    }
    println!("{name}: none of {TRIES} plays was undisturbed, the least disturbed is judged");
    least.expect("it was played")
}

fn once(seed: u64, name: &str, script: &Script, own: Option<&str>) -> Played {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let router = Program::ours(helper());
    let setup = Setup {
        router: &router,
        own,
        helper: helper(),
        folder: &folder,
        seed,
    };
    let evidence = play(script, &setup).unwrap();
    let verdict = judge::judge(&evidence);
    Played {
        evidence,
        verdict,
        folder,
    }
}

impl Played {
    pub(crate) fn keeps_the_rules(&self) -> &Played {
        assert!(self.verdict.broken.is_empty(), "{:#?}", self.verdict.broken);
        self
    }

    /// When the first thing was done to anything.
    pub(crate) fn fault(&self) -> u64 {
        self.evidence
            .deeds
            .iter()
            .find(|deed| deed.what != What::Admitted)
            .map_or(u64::MAX, |deed| deed.at_us)
    }

    /// Connections asked for behind the first fault.
    pub(crate) fn opened(&self) -> usize {
        let asks = |kind| matches!(kind, Kind::Opened | Kind::Full);
        let behind = self
            .evidence
            .seen
            .arrivals
            .iter()
            .filter(|a| a.at_us >= self.fault());
        behind.filter(|a| asks(a.kind)).count()
    }

    /// Whether each router had statements executed after its last start, if clients were led to it again by then.
    pub(crate) fn all_came_back(&self) -> bool {
        (0..self.evidence.script.routers).all(|router| {
            let of = |d: &&Deed| d.what == What::Started && d.router == Some(router);
            let started = self
                .evidence
                .deeds
                .iter()
                .rfind(of)
                .map_or(0, |deed| deed.at_us);
            let sent = |a: &Arrived| {
                a.router == Some(router) && a.kind == Kind::Statement && a.at_us > started
            };
            // A connection that was refused, or came in its last moments, asked nothing.
            let led = |r: &Route| {
                r.router == router
                    && r.from_us > started
                    && r.to_us.saturating_sub(r.from_us) > LASTS_US
            };
            let served = self.evidence.seen.arrivals.iter().any(sent);
            served || !self.evidence.routes.iter().any(led)
        })
    }

    pub(crate) fn logs(&self) -> Vec<String> {
        let read =
            |router| std::fs::read_to_string(self.folder.join(format!("router-{router}.log")));
        (0..self.evidence.script.routers)
            .map(|router| read(router).unwrap_or_default())
            .collect()
    }

    pub(crate) fn said(&self, what: &str) -> usize {
        self.logs()
            .iter()
            .map(|log| log.matches(what).count())
            .sum()
    }
}
