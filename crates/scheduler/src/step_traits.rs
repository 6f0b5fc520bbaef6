//! What of a step matters for its runs.

use crate::kinds::Class;
use indigofold_protocol::job::Resources;

/// What of a step matters for its runs.
#[derive(Clone, Debug)]
pub(crate) struct StepTraits {
    /// What each task takes.
    pub resources: Resources,
    /// All tasks run at the same time or not at all.
    pub gang: bool,
    /// Tasks run until they are cancelled.
    pub long_running: bool,
    /// The client's estimate of a task's run time, in milliseconds; 0 for none.
    pub estimate_ms: u64,
    /// Class whose run times are learned together.
    pub class: Class,
    /// Service that runs the tasks.
    pub service: String,
}
