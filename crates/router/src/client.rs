//! A client's connection: statements in, one final answer each.

use crate::decide::{Final, Ticket};
use crate::execute::{Router, Row};
use crate::listen::Clients;
use crate::wire;
use async_io::Async;
use badgerstream_protocol::client::{Client, Turn};
use badgerstream_protocol::comment::{Fault, Statement};
use badgerstream_protocol::{Close, Ring, message};
use badgerstream_routing::{Currency, Repeat, Workload};
use futures_lite::future;
use std::collections::HashMap;
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// A client that stops within a message, or takes no answer, holds a descriptor: no longer than this.
const STUCK: Duration = Duration::from_secs(30);

/// The places of the names that statements carry.
pub struct Names {
    workloads: HashMap<String, (usize, Workload)>,
    customers: HashMap<String, usize>,
}

impl Names {
    pub fn new(workloads: Vec<String>, kinds: Vec<Workload>, customers: Vec<String>) -> Names {
        let workloads = workloads.into_iter().zip(kinds).enumerate();
        let customers = customers.into_iter().enumerate();
        Names {
            workloads: workloads.map(|(i, (name, kind))| (name, (i, kind))).collect(),
            customers: customers.map(|(i, name)| (name, i)).collect(),
        }
    }
}

/// Takes a statement, unless no node may see it.
pub fn take(desk: &Rc<Router>, names: &Names, s: Statement) -> Result<Ticket<Statement, Row>, Fault> {
    let (workload, kind) =
        *names.workloads.get(&s.workload).ok_or(("42704", "the workload in c is unknown"))?;
    if s.writes != (kind.currency == Currency::Primary) {
        return Err(("42601", "the workload in c does not fit the statement"));
    }
    if matches!(kind.repeat, Repeat::Deduplicated { .. }) && !s.marked {
        return Err(("42601", "the workload in c needs the mark k"));
    }
    if !desk.knows_group(s.group) {
        return Err(("42704", "the group in cluster is unknown"));
    }
    let has_session = s.writes || kind.currency == Currency::OwnWrites;
    let session = if has_session { number(&s.key) } else { 0 };
    // A customer without a quota has no place in the list.
    let customer = names.customers.get(&s.customer).copied().unwrap_or(usize::MAX);
    let (group, wait, after) = (s.group, s.wait, s.after);
    Ok(desk.arrived(s, workload, group, session, customer, wait, after))
}

/// Two sessions with one number would only be pinned together, and 0 means none.
fn number(session: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    session.hash(&mut hasher);
    hasher.finish().max(1)
}

/// Serves a client until its connection ends.
pub async fn serve(stream: Async<TcpStream>, desk: Rc<Router>, names: Rc<Names>, clients: Rc<Clients>) {
    let mut output = Ring::new(message::LONGEST);
    let Err(close) = talk(&stream, &mut output, &desk, &names, &clients).await;
    if let Close::Malformed(_) = close {
        // What the machine had to say about it.
        let _ = flush(&stream, &mut output).await;
        tracing::warn!("a client's connection has ended: {close}");
    }
}

async fn talk(
    stream: &Async<TcpStream>, output: &mut Ring, desk: &Rc<Router>, names: &Names, clients: &Rc<Clients>,
) -> Result<Infallible, Close> {
    let (mut machine, mut input) = (Client::default(), Ring::new(message::LONGEST));
    loop {
        match machine.next(&mut input, output)? {
            Turn::Write => {}
            Turn::Read => idle(stream, &mut input, clients, machine.fresh()).await?,
            Turn::Execute(statement) => match take(desk, names, *statement) {
                Err(fault) => machine.failed(output, fault),
                Ok(ticket) => match answer(stream, &mut input, &ticket).await? {
                    Final::Completed(row) => machine.completed(output, &row),
                    Final::Rejected(after) => machine.rejected(output, after),
                    Final::Aborted => machine.aborted(output),
                },
            },
        }
        flush(stream, output).await?;
    }
}

async fn flush(stream: &Async<TcpStream>, output: &mut Ring) -> Result<(), Close> {
    wire::within(STUCK, Close::Silent, wire::write(stream, output)).await
}

/// Reads on, unless the router wants the connection closed: never one whose bytes are unread.
async fn idle(
    stream: &Async<TcpStream>, input: &mut Ring, clients: &Rc<Clients>, fresh: bool,
) -> Result<(), Close> {
    if !input.is_empty() {
        return wire::within(STUCK, Close::Silent, wire::read(stream, input)).await;
    }
    let unwanted = {
        let wanted = clients.wait_idle(fresh);
        let read = async { wire::read(stream, input).await.map(|()| false) };
        future::or(read, async {
            wanted.unwanted().await;
            Ok(true)
        })
        .await?
    };
    if unwanted && !wire::read_now(stream, input)? { Err(Close::Idle) } else { Ok(()) }
}

/// The final answer; meanwhile the client may leave, or send its next statement.
async fn answer(
    stream: &Async<TcpStream>, input: &mut Ring, ticket: &Ticket<Statement, Row>,
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
