mod agreement;
mod answers;
mod authority;
mod differences;
mod elections;
mod fleet;
mod guards;
mod members;
mod net;
mod promotions;
mod storm;
mod voters;

/// Milliseconds for a random test; for hunts the variable of `arbtest` may give more.
fn budget() -> u64 {
    std::env::var("ARBTEST_BUDGET_MS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(1500)
}
