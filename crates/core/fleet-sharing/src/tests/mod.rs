//! Rules by case, and sums over any number of routers as properties.

mod rules;
mod sums;
