//! Questions to a scripted database server.

use crate::asker::{self, Whom};
use async_io::{Async, Timer};
use badgerstream_control::{Asked, Statement};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::net::TcpListener;
use std::time::Duration;

/// Whether the connection is still open so many milliseconds after the answer to its one question.
fn is_kept(idle_s: f64) -> bool {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let endpoint = listener.get_ref().local_addr().unwrap();
    let (sender, questions) = async_channel::bounded(4);
    sender.try_send(Statement::Status).unwrap();
    let whom = Whom { id: "i".to_owned(), service: "s".to_owned(), endpoint };
    let told = |asked| assert!(matches!(asked, Asked::Row { .. }), "{asked:?}");
    let asking = async {
        asker::ask(whom, questions, 1.0, idle_s, told).await;
        future::pending().await
    };
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 256];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        stream.write_all(b"IDLE I -\r\n").await.unwrap();
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        stream.write_all(b"ROW leader 1 1.7 1 0 0 0\r\nCOMPLETE -\r\nIDLE I 1.7\r\n").await.unwrap();
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
    assert!(is_kept(asker::IDLE));
    assert!(!is_kept(0.0));
}
