//! Unit tests of single rules, and property tests of sums over any number of routers.

mod rules;
mod sums;
