//! Codec of the line protocol between clients, routers and servers, which the users' page PROTOCOL
//! specifies.
//!
//! The codec does no I/O. The owner of a socket feeds the received bytes, split at any point, and
//! takes out complete lines, requests and responses. The pooler uses the codec for clients and
//! servers, and so do the servers of the testbed. Routers forward rows and statements byte for
//! byte.

mod error_code;
mod execution_outcome;
mod line_buffer;
mod position;
mod request;
mod response;
mod response_reader;
mod statement;
#[cfg(test)]
mod tests;

pub use crate::error_code::ErrorCode;
pub use crate::execution_outcome::ExecutionOutcome;
pub use crate::line_buffer::{LineBuffer, LineError, MAX_LINE_BYTES};
pub use crate::position::{Position, PositionError};
pub use crate::request::{Request, RequestError};
pub use crate::response::{ResponseLine, TransactionState};
pub use crate::response_reader::{ResponseError, ResponseReader, StatementResult};
pub use crate::statement::{ParsedStatement, StatementError, StatementKind};
