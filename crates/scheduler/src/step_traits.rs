//! Properties of a step that are needed to handle its runs.

use crate::kinds::Class;
use indigofold_protocol::job::Resources;

/// Properties of a step that are needed to handle its runs.
#[derive(Clone, Debug)]
pub(crate) struct StepTraits {
    /// Resources that each task takes.
    pub resources: Resources,
    /// Whether the tasks form a gang: all run at the same time or none does.
    pub gang: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The client's estimate of a task's run time, in milliseconds; 0 for none.
    pub estimate_ms: u64,
    /// Class of the tasks, whose run times are learned together.
    pub class: Class,
    /// Service that runs the tasks.
    pub service: String,
}
