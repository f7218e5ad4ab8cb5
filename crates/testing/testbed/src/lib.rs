//! A stand-in of the outside world on loopback, for tests and for the quick start: database services, their beats, the
//! platform's `POST /promotions`, an operator and clients.

pub mod beats;
pub mod call;
pub mod children;
pub mod client;
pub mod desk;
pub mod history;
pub mod ledger;
pub mod operator;
pub mod plan;
pub mod relay;
pub mod replica;
pub mod serve;
pub mod up;
pub mod world;

#[cfg(test)]
mod tests;
