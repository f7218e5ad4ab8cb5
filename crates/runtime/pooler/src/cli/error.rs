//! Why a command came to nothing.

use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why a command came to nothing, in one line.
    #[derive(Debug)]
    pub enum CliError {
        /// A file can't be read.
        File(file: String, error: io::Error) {
            display("{}: {}", file, error)
        }
        /// A file is wrong.
        Wrong(file: String, what: String) {
            display("{}: {}", file, what)
        }
        /// No address gave an answer; what each of them came to.
        NoAnswer(tries: String) {
            display("no answer: {}", tries)
        }
        /// As [`CliError::NoAnswer`], of a call that may have been done all the same.
        Unsettled(tries: String, base: u64) {
            display("it isn't known whether the configuration was taken; the same command with --base {} \
                     can be repeated without harm: {}", base, tries)
        }
        /// The system refuses what was asked.
        Refused(at: SocketAddr, status: u16, why: String) {
            display("refused by {} ({}): {}", at, status, why)
        }
        /// An answer that this program doesn't understand.
        Answer(at: SocketAddr, what: String) {
            display("the answer of {} can't be read: {}", at, what)
        }
        /// There is no configuration to print.
        NoConfig {
            display("there is no configuration yet")
        }
        /// What was found can't be printed.
        Output(error: io::Error) {
            display("can't print: {}", error)
        }
    }
}
