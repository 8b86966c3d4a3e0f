//! The number of cases of a fuzz test.

use proptest::test_runner::Config;

/// The environment variable that multiplies the number of cases of each fuzz test.
const FACTOR_VARIABLE: &str = "GALENASTREAM_FUZZ_FACTOR";

/// Returns the configuration of a fuzz test with `ci_cases` cases, multiplied by the environment
/// variable `GALENASTREAM_FUZZ_FACTOR`.
///
/// # Panics
///
/// Panics if the variable is not a whole number, so that a typing error does not pass for a long
/// run.
pub fn fuzz_config(ci_cases: u32) -> Config {
    let factor = match std::env::var(FACTOR_VARIABLE) {
        Ok(text) => text.parse().unwrap_or_else(|error| {
            panic!("{FACTOR_VARIABLE}={text} ({error}); set it to a whole number")
        }),
        Err(_) => 1,
    };
    Config { cases: ci_cases.saturating_mul(factor), ..Config::default() }
}
