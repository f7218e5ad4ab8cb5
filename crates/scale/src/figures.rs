//! Figures out of samples.

/// The value below which this share of the samples lies, by nearest rank; none of no samples.
pub fn quantile(samples: &[f64], share: f64) -> Option<f64> {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).or(sorted.last()).copied()
}

/// What a process has used and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time of its life, user and system, in seconds.
    pub processor_s: f64,
    /// Memory that it holds, in MB of 2^20 bytes.
    pub resident_mb: f64,
    /// The most that it ever held, in MB.
    pub peak_mb: f64,
    /// Open descriptors.
    pub files: usize,
}

/// Seconds of processor time out of the text of `/proc/PID/stat`, with so many ticks a second.
pub fn processor_s(stat: &str, ticks: f64) -> Option<f64> {
    // The name in brackets may hold anything, blanks too.
    let rest = stat.rsplit_once(')')?.1;
    let mut words = rest.split_ascii_whitespace().skip(11);
    let user: f64 = words.next()?.parse().ok()?;
    let system: f64 = words.next()?.parse().ok()?;
    Some((user + system) / ticks)
}

/// A size in MB out of the text of `/proc/PID/status`: `VmRSS`, `VmHWM`.
pub fn size_mb(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    let kilobytes: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes / 1024.0)
}

/// What this process has used and holds now; none if it is gone.
pub fn usage(pid: u32) -> Option<Usage> {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).ok();
    // Linux tells programs of a hundred a second, whatever it counts in.
    let ticks = 100.0;
    let status = read("status")?;
    Some(Usage {
        processor_s: processor_s(&read("stat")?, ticks)?,
        resident_mb: size_mb(&status, "VmRSS")?,
        peak_mb: size_mb(&status, "VmHWM")?,
        files: std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count(),
    })
}

/// How many wanted to run on this machine, on average of the last minute.
pub fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(f64::NAN)
}
