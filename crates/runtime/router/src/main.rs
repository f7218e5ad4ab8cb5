//! The binary; all it does is in the library, which rigs of this workspace start as processes of their own.

fn main() -> std::process::ExitCode {
    badgerstream::main()
}
