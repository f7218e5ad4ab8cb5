//! One script on the rig, with our settings, without them, or both: for every experiment with real processes.

use crate::router::{Fault, Program, folder, program};
use badgerstream_process_harness::judge::{self, Figures, Verdict};
use badgerstream_process_harness::play::{Setup, play};
use badgerstream_process_harness::script::Script;
use std::path::Path;

pub struct Runs<'a> {
    pub script: &'a Script,
    /// Our settings, as JSON5.
    pub own: &'a str,
    pub seed: u64,
    /// A built `badgerstream`, in place of this program.
    pub router: Option<&'a Path>,
    /// Where configurations, logs and all that was seen are kept.
    pub keep: Option<&'a Path>,
}

impl Runs<'_> {
    /// With our settings unless only the `baseline` is asked for, and the baseline if it is, or both are.
    ///
    /// # Errors
    /// A process that can't be started, or a file that can't be written.
    pub fn play(
        &self,
        baseline: bool,
        both: bool,
    ) -> Result<(Option<Verdict>, Option<Verdict>), Fault> {
        let folder = folder(self.keep)?;
        let this = program()?;
        let router = self.router.map_or_else(
            || Program::ours(&this),
            |path| Program {
                path: path.to_path_buf(),
                before: Vec::new(),
            },
        );
        let one = |own: Option<&str>, name: &str| {
            let folder = folder.join(name);
            std::fs::create_dir_all(&folder).map_err(|e| Fault::File(folder.clone(), e))?;
            let setup = Setup {
                router: &router,
                own,
                helper: &this,
                folder: &folder,
                seed: self.seed,
            };
            let verdict = judge::judge(&play(self.script, &setup)?);
            let text = serde_json::to_string(&verdict).map_err(|e| Fault::Wrong(e.to_string()))?;
            let file = folder.join("verdict.json");
            std::fs::write(&file, text).map_err(|e| Fault::File(file, e))?;
            Ok::<Verdict, Fault>(verdict)
        };
        let without = (baseline || both)
            .then(|| one(None, "baseline"))
            .transpose()?;
        let with = (!baseline)
            .then(|| one(Some(self.own), "with"))
            .transpose()?;
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&folder);
        }
        Ok((with, without))
    }
}

/// Draws what was served and what arrived over time, the baseline laid over.
///
/// # Errors
/// The file can't be written.
pub fn plot(
    with: Option<&Verdict>,
    baseline: Option<&Verdict>,
    name: &str,
    place: &Path,
) -> Result<(), Fault> {
    let runs: Vec<(&str, &Figures)> = [(name, with), ("baseline", baseline)]
        .into_iter()
        .filter_map(|(name, of)| Some((name, &of?.figures)))
        .collect();
    judge::plot(&runs, place).map_err(Fault::Wrong)
}

/// The rules that runs have broken, a line each.
pub fn rules(runs: [(&str, Option<&Verdict>); 2]) -> Vec<String> {
    let broken = runs.into_iter().flat_map(|(name, verdict)| {
        verdict
            .into_iter()
            .flat_map(move |v| v.broken.iter().map(move |b| (name, b)))
    });
    broken
        .map(|(name, b)| format!("{name}: {}, {} times: {}", b.rule, b.times, b.case))
        .collect()
}

/// For people: each broken rule with one statement's way through every process.
pub fn print_rules(verdict: &Verdict) {
    for broken in &verdict.broken {
        println!(
            "  RULE BROKEN: {}, {} times: {}",
            broken.rule, broken.times, broken.case
        );
        broken.way.iter().for_each(|line| println!("    {line}"));
    }
}
