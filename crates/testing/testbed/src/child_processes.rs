//! Processes that this one has started, which it ends by their ids, whatever comes.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::Result;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// After SIGTERM a process has so long before it is killed.
const GRACE: Duration = Duration::from_secs(7);

/// Children by name; those that still run are ended when this is dropped.
#[derive(Default)]
pub struct ChildProcesses {
    running: Vec<(String, Child)>,
}

impl ChildProcesses {
    /// Starts a process; what it writes goes into this file.
    pub fn start(
        &mut self,
        name: &str,
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> Result<()> {
        let file = File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        log::info!("event=child_started name={name} pid={}", child.id());
        self.running.push((name.to_owned(), child));
        Ok(())
    }

    /// A child that has ended by itself since the last call.
    pub fn ended(&mut self) -> Option<(String, ExitStatus)> {
        for at in 0..self.running.len() {
            if let Ok(Some(status)) = self.running[at].1.try_wait() {
                let (name, _) = self.running.remove(at);
                return Some((name, status));
            }
        }
        None
    }

    /// Sends a signal to a child that still runs.
    pub fn signal(&self, name: &str, signal: Signal) {
        let found = self.running.iter().find(|(n, _)| n == name);
        // Its id is not used again before we have waited for it.
        if let Some(pid) = found.and_then(|(_, child)| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a child at once, and waits for it.
    pub fn kill(&mut self, name: &str) {
        if let Some(at) = self.running.iter().position(|(n, _)| n == name) {
            let (_, mut child) = self.running.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks all to end, and kills those that take too long. Gives their names and how each ended.
    pub fn end(&mut self) -> Vec<(String, ExitStatus)> {
        for (name, _) in &self.running {
            // One that is stopped would not hear of its end.
            self.signal(name, Signal::TERM);
            self.signal(name, Signal::CONT);
        }
        let until = Instant::now() + GRACE;
        let mut all = Vec::new();
        while !self.running.is_empty() && Instant::now() < until {
            match self.ended() {
                Some(one) => all.push(one),
                None => std::thread::sleep(Duration::from_millis(10)),
            }
        }
        for (name, mut child) in self.running.drain(..) {
            let _ = child.kill();
            if let Ok(status) = child.wait() {
                log::warn!("event=child_killed name={name}");
                all.push((name, status));
            }
        }
        all
    }
}

impl Drop for ChildProcesses {
    fn drop(&mut self) {
        self.end();
    }
}
