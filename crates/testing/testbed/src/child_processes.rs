//! Processes that this one has started. They are signalled and ended by their process ids only, and
//! none outlives its owner: dropping [`ChildProcesses`] ends all of them.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::Result;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// From SIGTERM until a process that still runs is killed: above the grace period of the settings
/// files, 6 s, within which each ends by itself.
const TERMINATION_GRACE: Duration = Duration::from_secs(7);

/// How often it is looked for processes that have exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that has exited.
#[derive(Debug)]
pub struct ExitedProcess {
    /// The name it was started under.
    pub name: String,
    /// How it ended.
    pub status: ExitStatus,
}

#[derive(Debug)]
struct RunningProcess {
    name: String,
    child: Child,
}

/// Child processes by name; those that still run are ended when this is dropped.
#[derive(Debug, Default)]
pub struct ChildProcesses {
    running: Vec<RunningProcess>,
}

impl ChildProcesses {
    /// Starts a process whose output and errors go into `log`, a file that is written anew.
    pub fn start(
        &mut self,
        name: &str,
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> Result<()> {
        let log = File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        log::info!("event=child_started name={name} pid={}", child.id());
        self.running.push(RunningProcess {
            name: name.to_owned(),
            child,
        });
        Ok(())
    }

    /// Takes out a process that has exited by itself, if there is one.
    pub fn take_exited(&mut self) -> Option<ExitedProcess> {
        for index in 0..self.running.len() {
            if let Ok(Some(status)) = self.running[index].child.try_wait() {
                let RunningProcess { name, .. } = self.running.remove(index);
                return Some(ExitedProcess { name, status });
            }
        }
        None
    }

    /// Sends a signal to a process that still runs; without effect for any other name.
    pub fn signal(&self, name: &str, signal: Signal) {
        let process = self.running.iter().find(|process| process.name == name);
        // The system doesn't reuse the id before we have waited for the process.
        if let Some(pid) = process.and_then(|process| Pid::from_raw(process.child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a process at once, and waits for it.
    pub fn kill(&mut self, name: &str) {
        if let Some(index) = self.running.iter().position(|process| process.name == name) {
            let mut process = self.running.remove(index);
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Sends SIGTERM to all, waits for them, and kills those that exceed the grace period. Blocks
    /// the thread meanwhile.
    pub fn terminate_all(&mut self) -> Vec<ExitedProcess> {
        for process in &self.running {
            // A stopped process gets SIGTERM only once it is continued.
            self.signal(&process.name, Signal::TERM);
            self.signal(&process.name, Signal::CONT);
        }
        let deadline = Instant::now() + TERMINATION_GRACE;
        let mut exited = Vec::new();
        while !self.running.is_empty() && Instant::now() < deadline {
            match self.take_exited() {
                Some(process) => exited.push(process),
                None => std::thread::sleep(EXIT_POLL_INTERVAL),
            }
        }
        for RunningProcess { name, mut child } in self.running.drain(..) {
            let _ = child.kill();
            if let Ok(status) = child.wait() {
                log::warn!("event=child_killed name={name}");
                exited.push(ExitedProcess { name, status });
            }
        }
        exited
    }
}

impl Drop for ChildProcesses {
    fn drop(&mut self) {
        self.terminate_all();
    }
}
