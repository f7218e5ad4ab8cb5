//! What is read from /proc, and what is told of samples.

use crate::figures::{processor_s, quantile, size_mb};
use arbtest::{arbitrary, arbtest};

/// A name may hold blanks and brackets; the times stand at their places after it all the same.
#[test]
fn processor_time_is_read_behind_any_name() {
    let stat = "42 (a) b (c) S 1 42 42 0 -1 4194304 100 0 0 0 250 50 7 8 20 0 1 0 500 1000 200";
    assert_eq!(processor_s(stat, 100.0), Some(3.0));
    assert_eq!(processor_s("42 (cut", 100.0), None);
    assert_eq!(processor_s("42 (cut) S 1 2", 100.0), None);
}

#[test]
fn sizes_are_read_by_their_whole_name() {
    let status = "Name:\tx\nVmHWM:\t    4096 kB\nVmRSS:\t    2048 kB\n";
    assert_eq!(size_mb(status, "VmRSS"), Some(2.0));
    assert_eq!(size_mb(status, "VmHWM"), Some(4.0));
    assert_eq!(size_mb(status, "Vm"), None);
}

#[test]
fn quantiles_are_samples() {
    assert_eq!(quantile(&[], 0.5), None);
    assert_eq!(quantile(&[3.0, 1.0, 2.0], 0.5), Some(2.0));
    assert_eq!(quantile(&[3.0, 1.0, 2.0], 1.0), Some(3.0));
}

/// Whatever the samples, so large a share of them is no greater than what is told, and all others are no smaller.
#[test]
fn quantiles_part_the_samples() {
    arbtest(|u| {
        let count = u.int_in_range(1..=30)?;
        let samples: Vec<f64> =
            (0..count).map(|_| Ok(f64::from(u.int_in_range(0..=9)?))).collect::<arbitrary::Result<_>>()?;
        let share = f64::from(u.int_in_range(1..=100)?) / 100.0;
        let told = quantile(&samples, share).unwrap();
        let below = samples.iter().filter(|s| **s <= told).count() as f64;
        let under = samples.iter().filter(|s| **s < told).count() as f64;
        assert!(below >= share * f64::from(count) - 1e-9 && under < share * f64::from(count) + 1e-9);
        Ok(())
    });
}
