//! The rig checks others, so it is checked itself: what a script may say, what a relay does to bytes, and that the
//! judge finds each breach that is put before it.

mod judging;
mod relays;
mod run_delays;
mod scripts;
