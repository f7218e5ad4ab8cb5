//! Discovery beside the store: the whole list by GET, and a watch that tells each change once it is due. It may
//! run late, and may be frozen.

use crate::node::locked;
use crate::now;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(10);
const EMPTY_LINE: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Lists {
    /// Version, when it is told, and the list as JSON.
    due: VecDeque<(u64, u64, String)>,
    told: (u64, String),
    late_ms: u64,
    frozen: bool,
}

/// What discovery was asked and what it told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Somebody asked for the list, or to watch it.
    Asked,
    /// A list of this version was written.
    Told(u64),
}

pub struct Discovery {
    pub address: SocketAddr,
    lists: Mutex<Lists>,
    sink: OnceLock<Box<dyn Fn(Call) + Send + Sync>>,
}

impl Discovery {
    pub fn start(port: u16, first: String, late_ms: u64) -> std::io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        let lists = Mutex::new(Lists {
            due: VecDeque::new(),
            told: (1, first),
            late_ms,
            frozen: false,
        });
        let sink = OnceLock::new();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            lists,
            sink,
        });
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    /// A new list of hosts, told once it is as late as lists are.
    pub fn publish(&self, hosts: String) {
        let mut lists = locked(&self.lists);
        let seq = lists.due.back().map_or(lists.told.0, |last| last.0) + 1;
        let at = now() + lists.late_ms;
        lists.due.push_back((seq, at, hosts));
    }

    pub fn late(&self, late_ms: u64) {
        locked(&self.lists).late_ms = late_ms;
    }

    /// Goes on telling the list as it is now, whatever is published; or tells what has changed meanwhile.
    pub fn freeze(&self, frozen: bool) {
        locked(&self.lists).frozen = frozen;
    }

    /// From now on it tells of its calls.
    pub fn tell(&self, sink: impl Fn(Call) + Send + Sync + 'static) {
        // A second one is not heard.
        let _ = self.sink.set(Box::new(sink));
    }

    fn say(&self, call: Call) {
        if let Some(sink) = self.sink.get() {
            sink(call);
        }
    }

    /// The version and the list that it tells now.
    pub fn present(&self) -> (u64, String) {
        let mut lists = locked(&self.lists);
        if lists.frozen {
            return lists.told.clone();
        }
        while let Some((seq, _, hosts)) = lists.due.pop_front_if(|next| next.1 <= now()) {
            lists.told = (seq, hosts);
        }
        lists.told.clone()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let asked = lines.next().transpose()?.unwrap_or_default();
        while lines
            .next()
            .transpose()?
            .is_some_and(|line| !line.is_empty())
        {}
        self.say(Call::Asked);
        if !asked.contains("stream=1") {
            let present = self.present();
            let list = whole(&present);
            self.say(Call::Told(present.0));
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let (mut known, mut spoke) = (0, Instant::now());
        loop {
            let present = self.present();
            if present.0 > known {
                let list = whole(&present);
                self.say(Call::Told(present.0));
                stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes())?;
                (known, spoke) = (present.0, Instant::now());
            } else if spoke.elapsed() >= EMPTY_LINE {
                stream.write_all(b"1\r\n\n\r\n")?;
                spoke = Instant::now();
            }
            thread::sleep(LOOK);
        }
    }
}

fn whole(present: &(u64, String)) -> String {
    format!(
        r#"{{"seq":{},"whole":true,"hosts":{}}}"#,
        present.0, present.1
    )
}
