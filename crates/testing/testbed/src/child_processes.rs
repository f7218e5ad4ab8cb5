//! Child processes. They are signalled and terminated only by process id, and none outlives its
//! owner: dropping [`ChildProcesses`] terminates all of them.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::Result;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time from SIGTERM until a process that still runs is killed. It exceeds the grace period in the
/// settings files (`bounds.grace_s`, 6 s), within which each process exits.
const TERMINATION_GRACE: Duration = Duration::from_secs(7);

/// Interval between checks for processes that have exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that has exited.
#[derive(Debug)]
pub struct ExitedProcess {
    /// The name that it was started with.
    pub name: String,
    /// Its exit status.
    pub status: ExitStatus,
}

#[derive(Debug)]
struct RunningProcess {
    name: String,
    child: Child,
}

/// Named child processes; those that still run are terminated on drop.
#[derive(Debug, Default)]
pub struct ChildProcesses {
    running: Vec<RunningProcess>,
}

impl ChildProcesses {
    /// Starts a process. Its standard output and standard error go to the file `log`, which is
    /// overwritten.
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

    /// Removes and returns a process that has exited, if there is one.
    pub fn take_exited(&mut self) -> Option<ExitedProcess> {
        for index in 0..self.running.len() {
            if let Ok(Some(status)) = self.running[index].child.try_wait() {
                let RunningProcess { name, .. } = self.running.remove(index);
                return Some(ExitedProcess { name, status });
            }
        }
        None
    }

    /// Sends a signal to a process; does nothing if no running process has this name.
    pub fn signal(&self, name: &str, signal: Signal) {
        let process = self.running.iter().find(|process| process.name == name);
        // The operating system doesn't reuse a process id before its process was waited for.
        if let Some(pid) = process.and_then(|process| Pid::from_raw(process.child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL to a process and waits until it has ended.
    pub fn kill(&mut self, name: &str) {
        if let Some(index) = self.running.iter().position(|process| process.name == name) {
            let mut process = self.running.remove(index);
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Sends SIGTERM to all processes, waits for them, and kills those that still run after
    /// `TERMINATION_GRACE`. Blocks the thread until all have ended.
    pub fn terminate_all(&mut self) -> Vec<ExitedProcess> {
        for process in &self.running {
            // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
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
