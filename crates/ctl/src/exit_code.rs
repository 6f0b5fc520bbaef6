//! The exit codes of the program.

/// The verb succeeded and found no problem.
pub const EXIT_OK: u8 = 0;
/// The verb found a problem in what it inspected, or failed for a reason that is neither of the two below.
pub const EXIT_FINDINGS: u8 = 1;
/// The command line is wrong, or an input cannot be used: a file cannot be read, or a folder has no database. A problem
/// in the content of the checked file is [`EXIT_FINDINGS`] instead.
pub const EXIT_INPUT: u8 = 2;
/// The core members cannot be reached, or none of them can answer the query.
pub const EXIT_UNREACHABLE: u8 = 3;
