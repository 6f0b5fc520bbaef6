//! Formats a cluster's status as text.

use super::cluster::ClusterStatus;
use crate::table::Table;
use indigofold_protocol::inspection::{
    MemberStatus, ServiceStatus, TaskCounts, ViewStatus, WorkStatus,
};

/// Placeholder in a table for an unknown value.
const UNKNOWN: &str = "-";

/// The text of the report: view and head, the table of members, and the work as the acting head reports it.
pub(super) fn text(status: &ClusterStatus) -> String {
    let mut text = String::new();
    if let Some(newest) = status.newest() {
        text.push_str(&cluster_text(status, newest.view.as_ref()));
    }
    text.push_str(&members_text(status));
    if let Some(work) = status.head().and_then(|head| head.work.as_ref()) {
        text.push_str(&work_text(work));
    }
    text
}

fn cluster_text(status: &ClusterStatus, view: Option<&ViewStatus>) -> String {
    let head = status
        .head()
        .map_or("none is acting", |head| &head.address.node_name);
    let mut text = match view {
        None => format!("view:    none yet\nhead:    {head}\n"),
        Some(view) => {
            let agreed = if view.agreed {
                ""
            } else {
                " (not known to be agreed)"
            };
            format!(
                "view:    {}{agreed}\nhead:    {head}\nvoters:  {}\nchain:   {}\n",
                view.number,
                status.names(&view.voters, ", "),
                status.names(&view.chain, " > "),
            )
        }
    };
    if let Some(head) = status.head() {
        let (agents, edges) = (head.agents, head.edges);
        text.push_str(&format!(
            "clients: {agents} companions, {edges} edges connected to the head\n"
        ));
    }
    text
}

fn members_text(status: &ClusterStatus) -> String {
    let mut table = Table::new([
        "member", "internal", "program", "view", "stored", "peers", "state",
    ]);
    for member in &status.members {
        table.push(member_row(member));
    }
    for member in &status.unresponsive {
        let (name, internal) = (status.name(member.internal), member.internal.to_string());
        let unknown = || UNKNOWN.to_owned();
        table.push([
            name,
            internal,
            unknown(),
            unknown(),
            unknown(),
            unknown(),
            "no answer".to_owned(),
        ]);
    }
    format!("\n{table}")
}

fn member_row(member: &MemberStatus) -> [String; 7] {
    let connected = member.peers.iter().filter(|peer| peer.connected).count();
    let view = member.view.as_ref();
    let state = if member.acting { "acting head" } else { "up" };
    [
        member.address.node_name.clone(),
        member.address.internal.to_string(),
        member.version.clone(),
        view.map_or(UNKNOWN.to_owned(), |view| view.number.to_string()),
        format!("{}/{}", member.stored.view, member.stored.seq),
        format!("{connected}/{}", member.peers.len()),
        state.to_owned(),
    ]
}

fn work_text(work: &WorkStatus) -> String {
    let mut text = format!("\nconfiguration: version {}\n", work.config_version);
    text.push_str(&format!("writes under way: {}\n", work.open_writes));
    if !work.services.is_empty() {
        text.push_str(&services_text(&work.services));
    }
    text.push_str(&queues_text(work));
    let ended = work.ended;
    let (completed, failed, cancelled) = (ended.completed, ended.failed, ended.cancelled);
    text.push_str(&format!(
        "jobs ended recently: {completed} completed, {failed} failed, {cancelled} cancelled\n"
    ));
    text
}

fn services_text(services: &[ServiceStatus]) -> String {
    let mut table = Table::new(["service", "ready", "draining"]);
    for service in services {
        table.push([
            service.service.clone(),
            service.ready.to_string(),
            service.draining.to_string(),
        ]);
    }
    format!("\n{table}")
}

fn queues_text(work: &WorkStatus) -> String {
    if work.queues.is_empty() {
        return "\nno open jobs\n".to_owned();
    }
    let mut table = Table::new([
        "queue",
        "queued",
        "running",
        "tasks: waiting",
        "blocked",
        "placed",
        "done",
    ]);
    for queue in &work.queues {
        let TaskCounts {
            waiting,
            blocked,
            running,
            done,
        } = queue.tasks;
        table.push([
            queue.queue.clone(),
            queue.queued.to_string(),
            queue.running.to_string(),
            waiting.to_string(),
            blocked.to_string(),
            running.to_string(),
            done.to_string(),
        ]);
    }
    format!("\n{table}")
}
