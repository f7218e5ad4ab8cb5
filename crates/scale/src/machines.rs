//! The control processes.

use crate::figures::{self, Usage};
use crate::plan::Plan;
use badgerstream_calls::call::Call;
use badgerstream_calls::status::{ReadStatus, Status};
use badgerstream_standin::call;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// One control process; it ends with this.
pub struct Machine {
    /// Where it is called.
    pub at: SocketAddr,
    child: Child,
}

impl Machine {
    /// What it has used and holds; none once it is gone.
    pub fn usage(&self) -> Option<Usage> {
        figures::usage(self.child.id())
    }

    /// Ends it at once, as a loss of its process does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it sees the system; none if it doesn't answer.
    pub async fn status(&self) -> Option<Status> {
        let answer = call::once(self.at, 2.0, ReadStatus::METHOD, ReadStatus::PATH, &[], b"").await.ok()?;
        Status::read(&answer.body).ok()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts all control processes of this deployment; settings, logs and state are in the folder.
pub fn start(plan: &Plan, folder: &Path, program: &Path) -> Result<Vec<Machine>, String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let folder = std::path::absolute(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let files = plan.write(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let one = |(at, settings): (SocketAddr, std::path::PathBuf)| {
        let log = File::create(settings.with_extension("log"))?;
        let child = Command::new(program)
            .arg("node")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Machine { at, child })
    };
    let all: std::io::Result<Vec<Machine>> = plan.controls().into_iter().zip(files).map(one).collect();
    all.map_err(|e| format!("{}: {e}", program.display()))
}
