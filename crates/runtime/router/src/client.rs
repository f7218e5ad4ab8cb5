//! A client's connection: statements in, one final answer each.

use crate::budget::{Kind, Lease};
use crate::decide::{Final, Ticket};
use crate::execute::{Router, Row};
use crate::wire::{self, Seldom};
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::client::{Client, Turn};
use badgerstream_postgres_protocol::comment::{Fault, Statement};
use badgerstream_postgres_protocol::ring::Hold;
use badgerstream_postgres_protocol::{Close, Memory, Ring, message};
use badgerstream_routing::{Consistency, Repeat, Workload};
use futures_lite::future;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that takes no answer holds a descriptor and memory: no longer than this.
const STUCK: Duration = Duration::from_secs(30);
/// A client that has asked nothing since it came, or stops within a message, is closed after this, however
/// many bytes it sends meanwhile: who comes to ask sends all of it at once.
const UNASKED: Duration = Duration::from_millis(2200);
/// Until then its first bytes may be on their way, and it makes room for nobody.
const JUST_COME: Duration = Duration::from_millis(100);

/// The places of the names that statements carry.
pub(crate) struct Names {
    workloads: HashMap<String, (usize, Workload)>,
    customers: HashMap<String, usize>,
    /// The ids of the statements that are open: no other may take one's name meanwhile.
    open: RefCell<HashSet<String>>,
}

/// What an open statement holds until its answer: its id, and its share of the memory.
pub(crate) struct Opened {
    names: Rc<Names>,
    id: String,
    _memory: Hold,
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.names.open.borrow_mut().remove(&self.id);
    }
}

impl Names {
    pub(crate) fn new(
        workloads: Vec<String>,
        kinds: Vec<Workload>,
        customers: Vec<String>,
    ) -> Names {
        let workloads = workloads.into_iter().zip(kinds).enumerate();
        let customers = customers.into_iter().enumerate();
        Names {
            workloads: workloads
                .map(|(i, (name, kind))| (name, (i, kind)))
                .collect(),
            customers: customers.map(|(i, name)| (name, i)).collect(),
            open: RefCell::default(),
        }
    }
}

/// Takes a statement, unless no node may see it.
pub(crate) fn take(
    desk: &Rc<Router>,
    names: &Rc<Names>,
    memory: &Rc<Memory>,
    s: Statement,
) -> Result<(Ticket<Statement, Row>, Opened), Fault> {
    let (workload, kind) = *names
        .workloads
        .get(&s.workload)
        .ok_or(("42704", "the workload in c is unknown"))?;
    if s.writes != (kind.consistency == Consistency::Primary) {
        return Err(("42601", "the workload in c does not fit the statement"));
    }
    if matches!(kind.repeat, Repeat::Deduplicated { .. }) && s.mark.is_none() {
        return Err(("42601", "the workload in c needs the mark k"));
    }
    if !desk.knows_group(s.group) {
        return Err(("42704", "the group in cluster is unknown"));
    }
    // Nothing has run: 53300 tells that it may come again.
    let held = memory
        .hold(s.size())
        .ok_or(("53300", "too many large statements are open"))?;
    if !names.open.borrow_mut().insert(s.id.clone()) {
        return Err(("42710", "a statement with this id is open"));
    }
    let opened = Opened {
        names: names.clone(),
        id: s.id.clone(),
        _memory: held,
    };
    let has_session = s.writes || kind.consistency == Consistency::OwnWrites;
    let session = if has_session { number(&s.key) } else { 0 };
    // A customer without a quota has no place in the list.
    let customer = names
        .customers
        .get(&s.customer)
        .copied()
        .unwrap_or(usize::MAX);
    let (group, wait, after, size, marked) = (s.group, s.wait, s.after, s.size(), s.mark.is_some());
    let ticket = desk.arrived(s, workload, group, session, customer, wait, after);
    desk.carries(&ticket, size, marked);
    Ok((ticket, opened))
}

/// Two sessions with one number would only be pinned together, and 0 means none.
fn number(session: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    session.hash(&mut hasher);
    hasher.finish().max(1)
}

/// Serves a client until its connection ends.
pub(crate) async fn serve(
    stream: Async<TcpStream>,
    desk: Rc<Router>,
    names: Rc<Names>,
    memory: Rc<Memory>,
    lease: &Lease,
    malformed: Rc<Seldom>,
) {
    let mut output = Ring::within(message::LONGEST, &memory);
    let Err(close) = talk(&stream, &mut output, &desk, &names, &memory, lease).await;
    if let Close::Malformed(_) = close {
        // What the machine had to say about it.
        let _ = flush(&stream, &mut output).await;
        if let Some(passed) = malformed.due() {
            tracing::warn!(
                "a client's connection has ended: {close} ({passed} more such lines were left out)"
            );
        }
    }
}

async fn talk(
    stream: &Async<TcpStream>,
    output: &mut Ring,
    desk: &Rc<Router>,
    names: &Rc<Names>,
    memory: &Rc<Memory>,
    lease: &Lease,
) -> Result<Infallible, Close> {
    let (mut machine, mut input) = (Client::default(), Ring::within(message::LONGEST, memory));
    // When the message began that is not whole yet; for the first, when its client came.
    let mut begun = Some(Instant::now());
    loop {
        match machine.next(&mut input, output)? {
            Turn::Read => {
                if machine.fresh() || !input.is_empty() {
                    let since = *begun.get_or_insert_with(Instant::now);
                    let left = UNASKED.saturating_sub(since.elapsed());
                    let read = silent(stream, &mut input, lease, since);
                    wire::within(left, Close::Silent, read).await?;
                } else {
                    idle(stream, &mut input, lease, Kind::Client).await?;
                }
                continue;
            }
            Turn::Write => {}
            Turn::Execute(statement) => match take(desk, names, memory, *statement) {
                Err(fault) => machine.failed(output, fault),
                Ok((ticket, _opened)) => match answer(stream, &mut input, &ticket).await? {
                    Final::Completed(row) => machine.completed(output, row),
                    Final::Rejected(after) => machine.rejected(output, after),
                    Final::Aborted => machine.aborted(output),
                },
            },
        }
        flush(stream, output).await?;
        if !machine.fresh() {
            begun = None;
        }
        // Hundreds of messages at once must leave the other connections their turns.
        future::yield_now().await;
    }
}

async fn flush(stream: &Async<TcpStream>, output: &mut Ring) -> Result<(), Close> {
    wire::within(STUCK, Close::Silent, wire::write(stream, output)).await
}

/// Reads on; once some time is over without a byte, the connection is the first to make room.
async fn silent(
    stream: &Async<TcpStream>,
    input: &mut Ring,
    lease: &Lease,
    since: Instant,
) -> Result<(), Close> {
    let read = async { wire::read(stream, input).await.map(|()| true) };
    let quiet = async {
        Timer::after(JUST_COME.saturating_sub(since.elapsed())).await;
        Ok(false)
    };
    if future::or(read, quiet).await? {
        Ok(())
    } else {
        idle(stream, input, lease, Kind::Silent).await
    }
}

/// Reads on, unless the router wants the connection closed: never one whose bytes are unread.
async fn idle(
    stream: &Async<TcpStream>,
    input: &mut Ring,
    lease: &Lease,
    kind: Kind,
) -> Result<(), Close> {
    let unwanted = {
        let wanted = lease.wait(kind);
        let read = async { wire::read(stream, input).await.map(|()| false) };
        future::or(read, async {
            wanted.unwanted().await;
            Ok(true)
        })
        .await?
    };
    if unwanted && !wire::read_now(stream, input)? {
        Err(Close::Idle)
    } else {
        Ok(())
    }
}

/// The final answer; meanwhile the client may leave, or send its next statement.
async fn answer(
    stream: &Async<TcpStream>,
    input: &mut Ring,
    ticket: &Ticket<Statement, Row>,
) -> Result<Final<Row>, Close> {
    let left = async {
        loop {
            if input.room().is_empty() {
                future::pending::<()>().await;
            }
            wire::read(stream, input).await?;
        }
    };
    future::or(async { Ok(ticket.answer().await) }, left).await
}
