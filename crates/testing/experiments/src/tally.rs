//! `tally`: what routers gave up, by which rule, and what stood in the way, added up from their logs (the lines of
//! `badgerstream::tally`, which routers write each second where `BADGERSTREAM_LOG` asks for it).

use crate::router::Fault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Logs of routers, or folders of them
    #[arg(required = true)]
    pub from: Vec<PathBuf>,
    #[arg(long)]
    pub json: bool,
}

/// Counts of all logs together.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Logs that told something, and starts of routers in them.
    pub logs: usize,
    pub starts: usize,
    pub taken: u64,
    pub sent: u64,
    pub probes: u64,
    pub given_up: BTreeMap<String, u64>,
    pub in_the_way: BTreeMap<String, u64>,
    pub waits_for: BTreeMap<String, u64>,
}

const MARK: &str = " tally ";

/// One line's counts; none where it is cut off or no such line.
fn read(line: &str) -> Option<Report> {
    let told = line.split_once(MARK)?.1.trim_end();
    let number = |name: &str| -> Option<u64> {
        let at = told
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))?;
        at.parse().ok()
    };
    let list = |name: &str| -> Option<BTreeMap<String, u64>> {
        let list = told.split_once(&format!("{name}["))?.1.split_once(']')?.0;
        let pair = |entry: &str| -> Option<(String, u64)> {
            let (name, count) = entry.rsplit_once('=')?;
            Some((name.replace('_', " "), count.parse().ok()?))
        };
        list.split(',')
            .filter(|entry| !entry.is_empty())
            .map(pair)
            .collect()
    };
    Some(Report {
        logs: 0,
        starts: 1,
        taken: number("taken")?,
        sent: number("sent")?,
        probes: number("probes")?,
        given_up: list("given_up")?,
        in_the_way: list("in_the_way")?,
        waits_for: list("waits_for")?,
    })
}

impl Report {
    fn add(&mut self, other: &Report) {
        self.starts += other.starts;
        self.taken += other.taken;
        self.sent += other.sent;
        self.probes += other.probes;
        let lists = [
            (&mut self.given_up, &other.given_up),
            (&mut self.in_the_way, &other.in_the_way),
            (&mut self.waits_for, &other.waits_for),
        ];
        for (all, of) in lists {
            of.iter()
                .for_each(|(name, count)| *all.entry(name.clone()).or_default() += count);
        }
    }

    /// One log: counts only grow, until its router is started again.
    fn add_log(&mut self, text: &str) {
        let mut last: Option<Report> = None;
        for line in text.lines().filter_map(read) {
            if let Some(before) = last
                .replace(line.clone())
                .filter(|before| before.taken > line.taken)
            {
                self.add(&before);
            }
        }
        if let Some(last) = last {
            self.add(&last);
            self.logs += 1;
        }
    }
}

fn files(of: &Path) -> Result<Vec<PathBuf>, Fault> {
    let wrong = |e| Fault::File(of.to_path_buf(), e);
    if !of.is_dir() {
        return Ok(vec![of.to_path_buf()]);
    }
    let mut found = Vec::new();
    for entry in std::fs::read_dir(of).map_err(wrong)? {
        let path = entry.map_err(wrong)?.path();
        if path.extension().is_some_and(|kind| kind == "log") {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

/// # Errors
/// A file that can't be read, or no log that tells anything.
pub fn run(options: &Options) -> Result<Report, Fault> {
    let mut report = Report::default();
    for from in &options.from {
        for file in files(from)? {
            let bytes = std::fs::read(&file).map_err(|e| Fault::File(file.clone(), e))?;
            report.add_log(&String::from_utf8_lossy(&bytes));
        }
    }
    if report.logs == 0 {
        let why = "no log has a line of tally: routers write them with BADGERSTREAM_LOG=info,badgerstream::tally=debug";
        return Err(Fault::Wrong(why.to_string()));
    }
    Ok(report)
}

/// For people.
pub fn print(report: &Report) {
    let share = |count: u64, of: u64| count as f64 / of.max(1) as f64;
    println!(
        "{} logs, {} starts: {} statements taken, {} executions ({:.3} each), {} probes ({:.3} each)",
        report.logs,
        report.starts,
        report.taken,
        report.sent,
        share(report.sent, report.taken),
        report.probes,
        share(report.probes, report.taken)
    );
    let lists = [
        ("given up, by rule", &report.given_up),
        (
            "for each of these, members of its group by what stood in the way",
            &report.in_the_way,
        ),
        ("the same for what waited, each second", &report.waits_for),
    ];
    for (title, counts) in lists {
        println!("{title}:");
        let all: u64 = counts.values().sum();
        let mut order: Vec<_> = counts.iter().collect();
        order.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        order
            .iter()
            .for_each(|(name, count)| println!("  {count:9}  {:5.3}  {name}", share(**count, all)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(taken: u64, late: u64) -> String {
        format!(
            "2026-01-01T00:00:00Z DEBUG badgerstream::tally: tally taken={taken} sent=9 probes=3 \
             given_up[too_late={late},errs_everywhere=1] in_the_way[no_room=4] waits_for[]"
        )
    }

    #[test]
    fn the_last_line_of_each_start_counts() {
        let mut report = Report::default();
        let log = [
            line(5, 1),
            line(20, 2),
            "serves on".to_string(),
            line(3, 0),
            line(8, 4),
        ]
        .join("\n");
        report.add_log(&log);
        assert_eq!(
            (report.logs, report.starts, report.taken, report.sent),
            (1, 2, 28, 18)
        );
        assert_eq!(report.given_up["too late"], 6);
        assert_eq!(report.in_the_way["no room"], 8);
    }

    #[test]
    fn a_line_that_was_cut_off_is_left_out() {
        let (mut report, whole) = (Report::default(), line(5, 1));
        report.add_log(&format!("{whole}\n{}", &line(7, 2)[..100]));
        assert_eq!((report.starts, report.taken), (1, 5));
    }
}
