//! Serves a client connection: each statement gets exactly one final answer.

use crate::budget::{Lease, WaitKind};
use crate::decide::{Final, Ticket};
use crate::execute::{Row, StatementDispatcher};
use crate::wire::{self, LogThrottle};
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::client::{Client, ClientAction};
use badgerstream_postgres_protocol::comment::{ClientError, Statement};
use badgerstream_postgres_protocol::ring_buffer::MemoryReservation;
use badgerstream_postgres_protocol::{Close, MemoryBudget, RingBuffer, message};
use badgerstream_routing::{Consistency, Repeat, Workload};
use futures_lite::future;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time to write an answer: a client that does not read it holds a descriptor and memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time from connecting to the first statement, and from the first to the last byte of a message, however
/// many bytes arrive meanwhile. Ordinary clients send each message at once.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time for which a new client is not closed to free a descriptor: its first bytes may be on their way.
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(100);

/// Indexes of the workload and customer names used in statement comments, and the ids of open statements.
pub(crate) struct NameIndex {
    workloads: HashMap<String, (usize, Workload)>,
    customers: HashMap<String, usize>,
    /// Ids of the open statements; a second statement with such an id is rejected.
    open: RefCell<HashSet<String>>,
}

/// Reserves a statement's id and memory until it is answered.
pub(crate) struct Reservation {
    names: Rc<NameIndex>,
    id: String,
    _memory: MemoryReservation,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.names.open.borrow_mut().remove(&self.id);
    }
}

impl NameIndex {
    pub(crate) fn new(
        workloads: Vec<String>,
        kinds: Vec<Workload>,
        customers: Vec<String>,
    ) -> NameIndex {
        let workloads = workloads.into_iter().zip(kinds).enumerate();
        let customers = customers.into_iter().enumerate();
        NameIndex {
            workloads: workloads
                .map(|(i, (name, kind))| (name, (i, kind)))
                .collect(),
            customers: customers.map(|(i, name)| (name, i)).collect(),
            open: RefCell::default(),
        }
    }
}

/// Accepts a statement for routing, or returns the error for its client; in that case nothing has run.
pub(crate) fn accept_statement(
    dispatcher: &Rc<StatementDispatcher>,
    names: &Rc<NameIndex>,
    memory: &Rc<MemoryBudget>,
    s: Statement,
) -> Result<(Ticket<Statement, Row>, Reservation), ClientError> {
    let (workload, kind) = *names.workloads.get(&s.workload).ok_or((
        "42704",
        "the workload named in comment field c is not configured",
    ))?;
    if s.writes != (kind.consistency == Consistency::Primary) {
        return Err((
            "42601",
            "the workload named in comment field c does not match the statement: one of them writes, the other reads",
        ));
    }
    if matches!(kind.repeat, Repeat::Deduplicated { .. }) && s.mark.is_none() {
        return Err((
            "42601",
            "the workload named in comment field c requires the deduplication mark in field k",
        ));
    }
    if !dispatcher.knows_group(s.group) {
        return Err((
            "42704",
            "the replication group named in comment field cluster has never been listed",
        ));
    }
    // 53300 tells the client that it may repeat the statement: nothing has run.
    let held = memory.reserve(s.size()).ok_or((
        "53300",
        "no memory left for another large statement; try again later",
    ))?;
    if !names.open.borrow_mut().insert(s.id.clone()) {
        return Err(("42710", "another statement with this id is still open"));
    }
    let opened = Reservation {
        names: names.clone(),
        id: s.id.clone(),
        _memory: held,
    };
    let has_session = s.writes || kind.consistency == Consistency::OwnWrites;
    let session = if has_session {
        session_number(&s.key)
    } else {
        0
    };
    // Customers without a quota are not listed and have no index.
    let customer = names
        .customers
        .get(&s.customer)
        .copied()
        .unwrap_or(usize::MAX);
    let (group, wait, after, size, marked) =
        (s.group, s.wait_s, s.after, s.size(), s.mark.is_some());
    let ticket = dispatcher.arrived(s, workload, group, session, customer, wait, after);
    dispatcher.describe_statement(&ticket, size, marked);
    Ok((ticket, opened))
}

/// Returns the number of a session; 0 is reserved for none. A hash collision only makes two sessions use the same
/// node.
fn session_number(session: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    session.hash(&mut hasher);
    hasher.finish().max(1)
}

/// Serves a client until its connection ends.
pub(crate) async fn serve(
    stream: Async<TcpStream>,
    dispatcher: Rc<StatementDispatcher>,
    names: Rc<NameIndex>,
    memory: Rc<MemoryBudget>,
    lease: &Lease,
    malformed: Rc<LogThrottle>,
) {
    let mut output = RingBuffer::with_memory(message::MAX_MESSAGE_BYTES, &memory);
    let Err(close) = talk(&stream, &mut output, &dispatcher, &names, &memory, lease).await;
    if let Close::Malformed(_) = close {
        // Send the error message that the protocol machine has written.
        let _ = flush(&stream, &mut output).await;
        if let Some(suppressed) = malformed.due() {
            tracing::warn!(
                "client connection closed: {close} ({suppressed} similar lines suppressed)"
            );
        }
    }
}

async fn talk(
    stream: &Async<TcpStream>,
    output: &mut RingBuffer,
    dispatcher: &Rc<StatementDispatcher>,
    names: &Rc<NameIndex>,
    memory: &Rc<MemoryBudget>,
    lease: &Lease,
) -> Result<Infallible, Close> {
    let (mut machine, mut input) = (
        Client::default(),
        RingBuffer::with_memory(message::MAX_MESSAGE_BYTES, memory),
    );
    // Start of the message that is still incomplete; before the first statement, the time of connecting.
    let mut begun = Some(Instant::now());
    loop {
        match machine.next(&mut input, output)? {
            ClientAction::Read => {
                if machine.awaits_first_message() || !input.is_empty() {
                    let since = *begun.get_or_insert_with(Instant::now);
                    let left = MESSAGE_TIMEOUT.saturating_sub(since.elapsed());
                    let read = read_incomplete(stream, &mut input, lease, since);
                    wire::within(left, Close::PeerTimeout, read).await?;
                } else {
                    read_idle(stream, &mut input, lease, WaitKind::IdleClient).await?;
                }
                continue;
            }
            ClientAction::Write => {}
            ClientAction::Execute(statement) => {
                match accept_statement(dispatcher, names, memory, *statement) {
                    Err(fault) => machine.failed(output, fault),
                    Ok((ticket, _opened)) => match answer(stream, &mut input, &ticket).await? {
                        Final::Completed(row) => machine.completed(output, row),
                        Final::Rejected(after) => machine.rejected(output, after),
                        Final::Aborted => machine.aborted(output),
                    },
                }
            }
        }
        flush(stream, output).await?;
        if !machine.awaits_first_message() {
            begun = None;
        }
        // Yield so that many messages at once can't starve other connections.
        future::yield_now().await;
    }
}

async fn flush(stream: &Async<TcpStream>, output: &mut RingBuffer) -> Result<(), Close> {
    wire::within(
        WRITE_TIMEOUT,
        Close::PeerTimeout,
        wire::write(stream, output),
    )
    .await
}

/// Waits for bytes of an incomplete message. After the grace period without a byte, the connection is among the
/// first that may be closed to free a descriptor.
async fn read_incomplete(
    stream: &Async<TcpStream>,
    input: &mut RingBuffer,
    lease: &Lease,
    since: Instant,
) -> Result<(), Close> {
    let read = async { wire::read(stream, input).await.map(|()| true) };
    let quiet = async {
        Timer::after(NEW_CLIENT_GRACE.saturating_sub(since.elapsed())).await;
        Ok(false)
    };
    if future::or(read, quiet).await? {
        Ok(())
    } else {
        read_idle(stream, input, lease, WaitKind::Incomplete).await
    }
}

/// Waits for bytes, or closes the connection if the budget asks for its descriptor and no bytes are unread.
async fn read_idle(
    stream: &Async<TcpStream>,
    input: &mut RingBuffer,
    lease: &Lease,
    kind: WaitKind,
) -> Result<(), Close> {
    let close_requested = {
        let entry = lease.register_idle(kind);
        let read = async { wire::read(stream, input).await.map(|()| false) };
        future::or(read, async {
            entry.close_requested().await;
            Ok(true)
        })
        .await?
    };
    if close_requested && !wire::read_now(stream, input)? {
        Err(Close::Idle)
    } else {
        Ok(())
    }
}

/// Waits for the final answer. Meanwhile the client may disconnect or send its next statement.
async fn answer(
    stream: &Async<TcpStream>,
    input: &mut RingBuffer,
    ticket: &Ticket<Statement, Row>,
) -> Result<Final<Row>, Close> {
    let disconnected = async {
        loop {
            if input.room().is_empty() {
                future::pending::<()>().await;
            }
            wire::read(stream, input).await?;
        }
    };
    future::or(async { Ok(ticket.answer().await) }, disconnected).await
}
