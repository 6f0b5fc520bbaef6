//! The exit codes of the program.

/// Nothing is wrong.
pub const EXIT_OK: u8 = 0;
/// Something wrong was found.
pub const EXIT_FOUND: u8 = 1;
/// The command line, or an input that is not what is being checked, cannot be used.
pub const EXIT_INPUT: u8 = 2;
/// No member could be reached.
pub const EXIT_UNREACHABLE: u8 = 3;
