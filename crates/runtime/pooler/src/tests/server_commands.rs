//! Tests of commands to a scripted server on loopback: what is sent, how often, and which outcome
//! is reported.

use crate::server_commands::{CommandTarget, CommandTimeouts, FencedCommand, IDLE_TIMEOUT_S, run};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_control::{CommandOutcome, ServerCommand};
use badgerstream_line_protocol::LineBuffer;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The answer timeout is short, so that the tests don't take long.
const TIMEOUTS: CommandTimeouts = CommandTimeouts {
    answer_s: 0.3,
    idle_s: IDLE_TIMEOUT_S,
};
/// The answer to `STATUS`, which the server gives to all commands.
const ROW: &str = "ROW follower 3 3.7 0 12 2 17\r\nCOMPLETE -\r\nIDLE I 3.7\r\n";

/// How the scripted server handles a command.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The server answers with its status row.
    Answer,
    /// The server answers, and closes the connection after its answer.
    AnswerAndClose,
    /// The server closes the connection without an answer.
    Close,
    /// The server closes the connection in the middle of its answer.
    HalfAnswer,
    /// The server doesn't answer.
    Silence,
}

#[derive(Default)]
struct Server {
    /// How it handles the next commands, in order; it answers all later ones.
    steps: RefCell<VecDeque<Step>>,
    /// The received commands, each with the number of its connection.
    received: RefCell<Vec<(usize, String)>>,
    connections: Cell<usize>,
    /// How its connections ended; `None` for an orderly close.
    ends: RefCell<Vec<Option<ErrorKind>>>,
    changed: crate::notify::Notify,
}

impl Server {
    fn start(tasks: &Rc<LocalExecutor<'static>>, steps: &[Step]) -> (Rc<Server>, SocketAddr) {
        let server = Rc::new(Server::default());
        server.steps.borrow_mut().extend(steps);
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let (serving, spawner) = (server.clone(), tasks.clone());
        let accept = async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let server = serving.clone();
                let serve = async move {
                    let ended = server.serve(stream).await.err().map(|e| e.kind());
                    server.ends.borrow_mut().push(ended);
                    server.changed.notify_waiters();
                };
                spawner.spawn(serve).detach();
            }
        };
        tasks.spawn(accept).detach();
        (server, address)
    }

    async fn serve(&self, mut stream: Async<TcpStream>) -> std::io::Result<()> {
        let connection = self.connections.get();
        self.connections.set(connection + 1);
        let mut lines = LineBuffer::default();
        let mut bytes = [0; 256];
        loop {
            let Some(line) = lines
                .next_line()
                .unwrap()
                .map(|l| String::from_utf8(l.to_vec()).unwrap())
            else {
                match stream.read(&mut bytes).await? {
                    0 => return Ok(()),
                    count => lines.feed(&bytes[..count]),
                }
                continue;
            };
            if line.starts_with("CONNECT ") {
                assert_eq!(line, "CONNECT db control i-1");
                stream.write_all(b"IDLE I 3.7\r\n").await?;
                continue;
            }
            self.received
                .borrow_mut()
                .push((connection, line["QUERY - ".len()..].to_owned()));
            let step = self.steps.borrow_mut().pop_front().unwrap_or(Step::Answer);
            match step {
                Step::Answer => stream.write_all(ROW.as_bytes()).await?,
                Step::AnswerAndClose => return stream.write_all(ROW.as_bytes()).await,
                Step::HalfAnswer => return stream.write_all(&ROW.as_bytes()[..20]).await,
                Step::Close => return Ok(()),
                Step::Silence => {}
            }
        }
    }

    async fn wait_until(&self, holds: impl Fn(&Server) -> bool) {
        loop {
            let generation = self.changed.generation();
            if holds(self) {
                return;
            }
            self.changed.notified_since(generation).await;
        }
    }
}

/// Sends these commands one after the other to a server that follows these steps, and returns the
/// server and the outcome of each command.
fn execute(
    steps: &[Step],
    commands: &[ServerCommand],
    may_act: bool,
) -> (Rc<Server>, Vec<CommandOutcome>) {
    let tasks = Rc::new(LocalExecutor::new());
    let (server, endpoint) = Server::start(&tasks, steps);
    let outcomes = RefCell::new(Vec::new());
    let target = CommandTarget {
        server_id: "i-1".to_owned(),
        service: "db".to_owned(),
        endpoint,
    };
    let (sender, receiver) = async_channel::bounded(1);
    let (reported, reports) = async_channel::bounded(1);
    let work = async {
        for command in commands {
            sender
                .send(FencedCommand {
                    command: *command,
                    fencing_token: 5,
                })
                .await
                .unwrap();
            let outcome = reports.recv().await.unwrap();
            outcomes.borrow_mut().push(outcome);
            // Waits until the server has closed the connection, if it does, so that the client can
            // notice that before it sends the next command.
            let command_count = server.received.borrow().len();
            server
                .wait_until(|s| s.ends.borrow().len() >= closed_by_server(steps, command_count))
                .await;
        }
        sender.close();
    };
    let report = |command: FencedCommand, outcome| {
        assert_eq!(command.fencing_token, 5);
        reported.try_send(outcome).unwrap();
    };
    let all = future::zip(work, run(target, receiver, TIMEOUTS, |_| may_act, report));
    async_io::block_on(tasks.run(all));
    (server, outcomes.into_inner())
}

/// Returns the number of connections that the server closes itself in the steps for this many
/// commands.
fn closed_by_server(steps: &[Step], commands: usize) -> usize {
    let ends = |step: &&Step| matches!(step, Step::AnswerAndClose | Step::Close | Step::HalfAnswer);
    steps.iter().take(commands).filter(ends).count()
}

fn texts(server: &Server) -> Vec<String> {
    server
        .received
        .borrow()
        .iter()
        .map(|(_, text)| text.clone())
        .collect()
}

/// The commands that change the server, with their texts.
const CHANGES: [(ServerCommand, &str); 3] = [
    (ServerCommand::Pause(4), "PAUSE 4"),
    (ServerCommand::Resume, "RESUME"),
    (ServerCommand::StepDown(4), "STEPDOWN 4"),
];

#[test]
fn unanswered_changing_command_is_never_retried() {
    for (command, text) in CHANGES {
        for end in [Step::Close, Step::HalfAnswer] {
            // The connection is reused. It may have broken only after the last byte of the command
            // was sent, so the command may have run.
            let (server, outcomes) = execute(
                &[Step::Answer, end],
                &[ServerCommand::Status, command],
                true,
            );
            assert_eq!(texts(&server), ["STATUS", text], "{end:?}");
            assert_eq!(outcomes[1], CommandOutcome::TimedOut, "{end:?}");
        }
    }
}

#[test]
fn status_command_is_retried_on_a_new_connection() {
    for end in [Step::Close, Step::HalfAnswer] {
        let (server, outcomes) = execute(
            &[Step::Answer, end],
            &[ServerCommand::Status, ServerCommand::Status],
            true,
        );
        assert_eq!(texts(&server), ["STATUS", "STATUS", "STATUS"]);
        assert!(matches!(
            outcomes[1],
            CommandOutcome::Status {
                command: ServerCommand::Status,
                ..
            }
        ));
        assert_eq!(server.connections.get(), 2);
    }
}

#[test]
fn command_after_an_idle_close_is_sent_on_a_new_connection() {
    for (command, text) in CHANGES {
        let (server, outcomes) = execute(
            &[Step::AnswerAndClose],
            &[ServerCommand::Status, command],
            true,
        );
        assert_eq!(
            *server.received.borrow(),
            [(0, "STATUS".to_owned()), (1, text.to_owned())]
        );
        assert!(
            matches!(outcomes[1], CommandOutcome::Status { .. }),
            "{outcomes:?}"
        );
    }
}

#[test]
fn without_authority_only_status_is_sent() {
    for (command, _) in CHANGES {
        let (server, outcomes) = execute(&[], &[command, ServerCommand::Status], false);
        assert_eq!(texts(&server), ["STATUS"]);
        assert!(
            matches!(
                outcomes[..],
                [CommandOutcome::NotSent, CommandOutcome::Status { .. }]
            ),
            "{outcomes:?}"
        );
    }
}

#[test]
fn connection_is_reset_when_an_answer_times_out() {
    let tasks = Rc::new(LocalExecutor::new());
    let (server, endpoint) = Server::start(&tasks, &[Step::Silence]);
    let target = CommandTarget {
        server_id: "i-1".to_owned(),
        service: "db".to_owned(),
        endpoint,
    };
    let (sender, receiver) = async_channel::bounded(2);
    let outcomes = RefCell::new(Vec::new());
    let running = run(
        target,
        receiver,
        TIMEOUTS,
        |_| true,
        |_, outcome| outcomes.borrow_mut().push(outcome),
    );
    let work = async {
        sender
            .send(FencedCommand {
                command: ServerCommand::Resume,
                fencing_token: 5,
            })
            .await
            .unwrap();
        server.wait_until(|s| s.ends.borrow().len() == 1).await;
        sender
            .send(FencedCommand {
                command: ServerCommand::Pause(4),
                fencing_token: 5,
            })
            .await
            .unwrap();
        sender.close();
    };
    async_io::block_on(tasks.run(future::zip(work, running)));
    assert_eq!(server.ends.borrow()[0], Some(ErrorKind::ConnectionReset));
    assert_eq!(
        *server.received.borrow(),
        [(0, "RESUME".to_owned()), (1, "PAUSE 4".to_owned())]
    );
    assert!(matches!(
        outcomes.borrow()[..],
        [
            CommandOutcome::TimedOut,
            CommandOutcome::Status {
                command: ServerCommand::Pause(4),
                ..
            }
        ]
    ));
}

/// Returns whether the connection is still open 300 ms after the answer to its only command.
fn is_kept(idle_s: f64) -> bool {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let endpoint = listener.get_ref().local_addr().unwrap();
    let (sender, commands) = async_channel::bounded(4);
    sender
        .try_send(FencedCommand {
            command: ServerCommand::Status,
            fencing_token: 5,
        })
        .unwrap();
    let target = CommandTarget {
        server_id: "i".to_owned(),
        service: "s".to_owned(),
        endpoint,
    };
    let report = |_, outcome| {
        assert!(
            matches!(outcome, CommandOutcome::Status { .. }),
            "{outcome:?}"
        );
    };
    let sending = async {
        run(
            target,
            commands,
            CommandTimeouts {
                answer_s: 1.0,
                idle_s,
            },
            |_| true,
            report,
        )
        .await;
        future::pending().await
    };
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 256];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        stream.write_all(b"IDLE I -\r\n").await.unwrap();
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        stream
            .write_all(b"ROW leader 1 1.7 1 0 0 0\r\nCOMPLETE -\r\nIDLE I 1.7\r\n")
            .await
            .unwrap();
        let ended = async { stream.read(&mut bytes).await.unwrap_or(0) > 0 };
        let kept = async {
            Timer::after(Duration::from_millis(300)).await;
            true
        };
        future::or(ended, kept).await
    };
    async_io::block_on(future::or(server, sending))
}

#[test]
fn idle_connection_is_kept_or_closed_after_its_answer() {
    assert!(is_kept(IDLE_TIMEOUT_S));
    assert!(!is_kept(0.0));
}
