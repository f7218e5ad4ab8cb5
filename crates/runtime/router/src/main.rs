//! The router binary. Its code is in the library, which test programs of this workspace also run as a process.

fn main() -> std::process::ExitCode {
    badgerstream::main()
}
