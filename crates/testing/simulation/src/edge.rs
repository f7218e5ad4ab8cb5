//! The routers: their leases, grants and statements.

mod fleet;
mod router;
mod statements;

pub use fleet::{ActivatedConfig, Edge};
pub use router::{Renewal, Router};
