//! The scheduler's executable: runs [`indigofold::program`] on a single thread and reports an error through the log and
//! the exit code.

#![forbid(unsafe_code)]

use async_executor::LocalExecutor;
use indigofold::net::log::{finish_log, log};
use indigofold::program;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let tasks = Rc::new(LocalExecutor::new());
    let ended = async_io::block_on(tasks.run(program::run(tasks.clone())));
    if let Err(error) = &ended {
        log(format_args!("indigofold: {error}"));
    }
    finish_log();
    if ended.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
