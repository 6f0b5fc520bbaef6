//! Help texts, printed for `--help`.

/// Help for the program as a whole.
pub const GENERAL: &str = "\
indigofold-ctl: inspects a running cluster, checks its files, compares its disks

Usage: indigofold-ctl [--json] VERB [ARGUMENTS]

Verbs:
  status          state of the core members and of the work
  job             state of a job, where its tasks run, why it waits
  check-config    check an operator's configuration, or a patch of one
  check-settings  check a settings file (boot.toml)
  check-deploy    check the deploy file (system.toml)
  compare-copies  print which rows differ between the disks of core members
  quickstart      run a small cluster on this machine

Options:
  --json         print one line of JSON
  -h, --help     print this text, or that of a verb
  -V, --version  print the version

Exit codes: 0 nothing is wrong, 1 something wrong was found, 2 bad usage or
input, 3 no member could be reached.
";

/// Help for `status`.
pub const STATUS: &str = "\
Shows the state of the core members and of the work. Queries the members given
and those that they know; changes nothing.

Usage: indigofold-ctl [--json] status --at IP:PORT[,IP:PORT..]

  --at  internal address (the first port of `port_range`) of core members

Wrong, exit code 1: no acting head, a voter that does not answer or is not in
the chain, a voter without a connection to another, a disk that refuses writes.
";

/// Help for `job`.
pub const JOB: &str = "\
Shows the state of a job, where its tasks run, and why its steps wait. Changes
nothing.

Usage: indigofold-ctl [--json] job ID --at IP:PORT[,IP:PORT..]

  ID    the job's id, 16 hexadecimal digits
  --at  internal address of core members; the head is found through them
";

/// Help for `check-config`.
pub const CHECK_CONFIG: &str = "\
Checks an operator's configuration, or a patch of one, as the head does.

Usage: indigofold-ctl [--json] check-config FILE [--current FILE]

  FILE       body of PUT /config or PATCH /config
  --current  the configuration in force: `version` must be above its own; a
             patch is applied to it, so a patch needs it
";

/// Help for `check-settings`.
pub const CHECK_SETTINGS: &str = "\
Checks a settings file (boot.toml) as the daemons read it. Unknown fields are
allowed, as the daemons skip them.

Usage: indigofold-ctl [--json] check-settings FILE
";

/// Help for `check-deploy`.
pub const CHECK_DEPLOY: &str = "\
Checks the deploy file: build, packages, roles, the callers that roles serve,
unknown keys.

Usage: indigofold-ctl [--json] check-deploy FILE
";

/// Help for `compare-copies`.
pub const COMPARE_REPLICAS: &str = "\
Prints which rows differ between the disks of core members. The members must be
stopped. The folders are only read: their databases are opened as clones in a
temporary folder.

Usage: indigofold-ctl [--json] compare-copies DIR DIR..

  DIR  `data_dir` of a member

A replica that lacks the newest writes is behind, which is not wrong. Wrong,
exit code 1: rows that differ although both replicas have applied the same
writes, or a damaged database.
";

/// Help for `quickstart`.
pub const QUICKSTART: &str = "\
Runs a small cluster on loopback addresses of this machine: core members, an
edge, two node agents with stand-in workers. Applies a configuration, runs a
job to completion, then serves until Ctrl-C.

Usage: indigofold-ctl quickstart [OPTIONS]

  --members N     core members: 1 (default) or 3
  --once          end after the first job
  --programs DIR  folder of indigofold-control and indigofold-data (default: the
                  folder of this program, or this program itself in their place)

All state is in a temporary folder that is removed at the end.
";
