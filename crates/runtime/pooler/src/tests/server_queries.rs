//! What is sent to a server, how often, and what is told of it, at a scripted server on loopback.

use crate::server_queries::{IDLE_S, Query, Target, Waits, run};
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

/// So long a query may take here, in seconds.
const WAITS: Waits = Waits {
    answer_s: 0.3,
    idle_s: IDLE_S,
};
const ROW: &str = "ROW follower 3 3.7 0 12 2 17\r\nCOMPLETE -\r\nIDLE I 3.7\r\n";

/// What the server does with a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// It answers with its row.
    Answer,
    /// It answers, and ends the connection once its answer is written.
    AnswerAndClose,
    /// It ends the connection without a word.
    Close,
    /// It breaks off in the middle of its answer.
    HalfAnswer,
    /// It says nothing for as long as the caller waits.
    Silence,
}

#[derive(Default)]
struct Server {
    /// What it does with one statement after the other; it answers what comes after.
    steps: RefCell<VecDeque<Step>>,
    /// The statements that it got, and on which connection.
    got: RefCell<Vec<(usize, String)>>,
    connections: Cell<usize>,
    /// How its connections ended; none for an end in order.
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
                .next()
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
            self.got
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

    async fn until(&self, holds: impl Fn(&Server) -> bool) {
        loop {
            let generation = self.changed.generation();
            if holds(self) {
                return;
            }
            self.changed.notified_since(generation).await;
        }
    }
}

/// Sends these statements one after the other to a server that does these steps; what was told of each.
fn asked(
    steps: &[Step],
    statements: &[ServerCommand],
    may_act: bool,
) -> (Rc<Server>, Vec<CommandOutcome>) {
    let tasks = Rc::new(LocalExecutor::new());
    let (server, endpoint) = Server::start(&tasks, steps);
    let told = RefCell::new(Vec::new());
    let target = Target {
        id: "i-1".to_owned(),
        service: "db".to_owned(),
        endpoint,
    };
    let (sender, receiver) = async_channel::bounded(1);
    let (answered, answers) = async_channel::bounded(1);
    let work = async {
        for statement in statements {
            sender
                .send(Query {
                    statement: *statement,
                    fence: 5,
                })
                .await
                .unwrap();
            let answer = answers.recv().await.unwrap();
            told.borrow_mut().push(answer);
            // Whatever the server has ended is seen before the next one is sent.
            let closed = server.got.borrow().len();
            server
                .until(|s| s.ends.borrow().len() >= ended_by_server(steps, closed))
                .await;
        }
        sender.close();
    };
    let tell = |query: Query, asked| {
        assert_eq!(query.fence, 5);
        answered.try_send(asked).unwrap();
    };
    let all = future::zip(work, run(target, receiver, WAITS, |_| may_act, tell));
    async_io::block_on(tasks.run(all));
    (server, told.into_inner())
}

/// How many connections the server has ended itself after so many statements.
fn ended_by_server(steps: &[Step], statements: usize) -> usize {
    let ends = |step: &&Step| matches!(step, Step::AnswerAndClose | Step::Close | Step::HalfAnswer);
    steps.iter().take(statements).filter(ends).count()
}

fn texts(server: &Server) -> Vec<String> {
    server
        .got
        .borrow()
        .iter()
        .map(|(_, text)| text.clone())
        .collect()
}

const CHANGES: [(ServerCommand, &str); 3] = [
    (ServerCommand::Pause(4), "PAUSE 4"),
    (ServerCommand::Resume, "RESUME"),
    (ServerCommand::StepDown(4), "STEPDOWN 4"),
];

#[test]
fn what_changes_a_server_is_never_sent_again_without_an_answer() {
    for (statement, text) in CHANGES {
        for end in [Step::Close, Step::HalfAnswer] {
            // The connection has carried an exchange before: a reset of it may have struck after the last byte.
            let (server, told) = asked(
                &[Step::Answer, end],
                &[ServerCommand::Status, statement],
                true,
            );
            assert_eq!(texts(&server), ["STATUS", text], "{end:?}");
            assert_eq!(told[1], CommandOutcome::TimedOut, "{end:?}");
        }
    }
}

#[test]
fn a_status_is_asked_again_on_a_new_connection() {
    for end in [Step::Close, Step::HalfAnswer] {
        let (server, told) = asked(
            &[Step::Answer, end],
            &[ServerCommand::Status, ServerCommand::Status],
            true,
        );
        assert_eq!(texts(&server), ["STATUS", "STATUS", "STATUS"]);
        assert!(matches!(
            told[1],
            CommandOutcome::Status {
                command: ServerCommand::Status,
                ..
            }
        ));
        assert_eq!(server.connections.get(), 2);
    }
}

#[test]
fn a_connection_that_ended_at_rest_carries_nothing() {
    for (statement, text) in CHANGES {
        let (server, told) = asked(
            &[Step::AnswerAndClose],
            &[ServerCommand::Status, statement],
            true,
        );
        assert_eq!(
            *server.got.borrow(),
            [(0, "STATUS".to_owned()), (1, text.to_owned())]
        );
        assert!(matches!(told[1], CommandOutcome::Status { .. }), "{told:?}");
    }
}

#[test]
fn without_authority_only_a_status_leaves() {
    for (statement, _) in CHANGES {
        let (server, told) = asked(&[], &[statement, ServerCommand::Status], false);
        assert_eq!(texts(&server), ["STATUS"]);
        assert!(
            matches!(
                told[..],
                [CommandOutcome::NotSent, CommandOutcome::Status { .. }]
            ),
            "{told:?}"
        );
    }
}

#[test]
fn a_connection_without_an_answer_in_time_is_reset() {
    let tasks = Rc::new(LocalExecutor::new());
    let (server, endpoint) = Server::start(&tasks, &[Step::Silence]);
    let target = Target {
        id: "i-1".to_owned(),
        service: "db".to_owned(),
        endpoint,
    };
    let (sender, receiver) = async_channel::bounded(2);
    let told = RefCell::new(Vec::new());
    let ask = run(
        target,
        receiver,
        WAITS,
        |_| true,
        |_, asked| told.borrow_mut().push(asked),
    );
    let work = async {
        sender
            .send(Query {
                statement: ServerCommand::Resume,
                fence: 5,
            })
            .await
            .unwrap();
        server.until(|s| s.ends.borrow().len() == 1).await;
        sender
            .send(Query {
                statement: ServerCommand::Pause(4),
                fence: 5,
            })
            .await
            .unwrap();
        sender.close();
    };
    async_io::block_on(tasks.run(future::zip(work, ask)));
    assert_eq!(server.ends.borrow()[0], Some(ErrorKind::ConnectionReset));
    assert_eq!(
        *server.got.borrow(),
        [(0, "RESUME".to_owned()), (1, "PAUSE 4".to_owned())]
    );
    assert!(matches!(
        told.borrow()[..],
        [
            CommandOutcome::TimedOut,
            CommandOutcome::Status {
                command: ServerCommand::Pause(4),
                ..
            }
        ]
    ));
}

/// Whether the connection is still open so many milliseconds after the answer to its one question.
fn is_kept(idle_s: f64) -> bool {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let endpoint = listener.get_ref().local_addr().unwrap();
    let (sender, questions) = async_channel::bounded(4);
    sender
        .try_send(Query {
            statement: ServerCommand::Status,
            fence: 5,
        })
        .unwrap();
    let target = Target {
        id: "i".to_owned(),
        service: "s".to_owned(),
        endpoint,
    };
    let told = |_, asked| assert!(matches!(asked, CommandOutcome::Status { .. }), "{asked:?}");
    let asking = async {
        run(
            target,
            questions,
            Waits {
                answer_s: 1.0,
                idle_s,
            },
            |_| true,
            told,
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
    async_io::block_on(future::or(server, asking))
}

#[test]
fn a_connection_is_kept_or_closed_with_its_answer() {
    assert!(is_kept(IDLE_S));
    assert!(!is_kept(0.0));
}
