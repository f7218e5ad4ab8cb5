//! The line protocol of clients and databases, as machines that are fed bytes. No I/O: whoever owns the socket
//! hands in what arrived, cut anywhere, and takes out whole lines, requests and answers.

mod line;
mod position;
mod reply;
mod request;
mod text;
mod verdict;

pub use line::{LineBuffer, LineError, MAX_LINE};
pub use position::Position;
pub use reply::{Answer, AnswerError, Code, Outcome, Reply, State};
pub use request::{Request, RequestError};
pub use text::{Kind, Text, TextError};
pub use verdict::Verdict;

#[cfg(test)]
mod tests;
