//! The line protocol between clients, routers and servers, as the users' page PROTOCOL gives it.
//!
//! No I/O: whoever owns the socket feeds what arrived, split anywhere, and takes out complete
//! lines, requests and responses. The pooler decodes both ends with it, the testbed's servers too.
//! Rows and statements are never changed: routers forward them as they came.

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
