//! `status`: how the members and the work stand.

use crate::query::{self, MemberResponse, QueryError};
use crate::report::{Report, table};
use indigofold_protocol::inspection::{
    InspectionAnswer, MemberStatus, Question, TaskCounts, WorkStatus,
};
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Members named by others are asked too, so many at most.
const DISCOVERED_MEMBERS_MAX: usize = 32;

/// The answers of all members.
#[derive(Debug, Serialize)]
pub struct ClusterStatus {
    /// Those that answered.
    pub members: Vec<MemberStatus>,
    /// Those that did not, and why.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<UnresponsiveMember>,
}

/// A member that did not answer.
#[derive(Debug, Serialize)]
pub struct UnresponsiveMember {
    /// Its internal address.
    pub internal: SocketAddr,
    /// Why.
    pub reason: String,
}

/// Asks the members at these addresses, and those that they know.
pub fn run(addresses: Vec<SocketAddr>) -> Result<Report, QueryError> {
    query::run(gather(addresses)).map(|status| report(&status))
}

/// Asks the members at these addresses, then those that they know of.
pub async fn gather(addresses: Vec<SocketAddr>) -> Result<ClusterStatus, QueryError> {
    let mut status = ClusterStatus {
        members: Vec::new(),
        unresponsive: Vec::new(),
    };
    let first = query::query_all(&addresses, Question::Status).await;
    if first.iter().all(|(_, answer)| answer.is_err()) {
        return Err(query::nobody(&first));
    }
    let mut queried: BTreeSet<SocketAddr> = addresses.into_iter().collect();
    status.take(first);
    let known = status
        .members
        .iter()
        .flat_map(|member| &member.peers)
        .map(|peer| peer.internal);
    let more: BTreeSet<SocketAddr> = known.filter(|address| !queried.contains(address)).collect();
    let more: Vec<SocketAddr> = more.into_iter().take(DISCOVERED_MEMBERS_MAX).collect();
    queried.extend(&more);
    status.take(query::query_all(&more, Question::Status).await);
    status.members.sort_by_key(|member| member.address.internal);
    Ok(status)
}

impl ClusterStatus {
    fn take(&mut self, answers: Vec<MemberResponse>) {
        for (internal, answer) in answers {
            match answer {
                Ok(InspectionAnswer::Status(status)) => self.members.push(*status),
                Ok(InspectionAnswer::Unavailable { reason }) => {
                    self.unresponsive
                        .push(UnresponsiveMember { internal, reason });
                }
                Ok(_) => {
                    let reason = "the answer is to another question".to_owned();
                    self.unresponsive
                        .push(UnresponsiveMember { internal, reason });
                }
                Err(error) => self.unresponsive.push(UnresponsiveMember {
                    internal,
                    reason: error.to_string(),
                }),
            }
        }
    }

    /// The acting head; of two, the one of the newer view.
    pub fn head(&self) -> Option<&MemberStatus> {
        let acting = self.members.iter().filter(|member| member.acting);
        acting.max_by_key(|member| member.view.as_ref().map_or(0, |view| view.number))
    }

    /// The member whose view is the newest: the head, if there is one.
    fn newest(&self) -> Option<&MemberStatus> {
        let by_view = || {
            self.members
                .iter()
                .max_by_key(|member| member.view.as_ref().map_or(0, |view| view.number))
        };
        self.head().or_else(by_view)
    }

    fn name(&self, internal: SocketAddr) -> String {
        let own = self
            .members
            .iter()
            .find(|member| member.address.internal == internal);
        let own = own.map(|member| member.address.node_name.clone());
        let peers = || self.members.iter().flat_map(|member| &member.peers);
        let told = || {
            peers()
                .find(|peer| peer.internal == internal)
                .and_then(|peer| peer.node_name.clone())
        };
        own.or_else(told).unwrap_or_else(|| internal.to_string())
    }

    fn names(&self, addresses: &[SocketAddr], separator: &str) -> String {
        addresses
            .iter()
            .map(|address| self.name(*address))
            .collect::<Vec<_>>()
            .join(separator)
    }
}

/// The report of the answers.
pub fn report(status: &ClusterStatus) -> Report {
    let mut text = String::new();
    if let Some(newest) = status.newest() {
        text.push_str(&cluster_text(status, newest));
    }
    text.push_str(&members_text(status));
    if let Some(work) = status.head().and_then(|head| head.work.as_ref()) {
        text.push_str(&work_text(work));
    }
    Report::new(text, status, findings(status))
}

fn cluster_text(status: &ClusterStatus, newest: &MemberStatus) -> String {
    let head = status
        .head()
        .map_or("none acts", |head| &head.address.node_name);
    let mut text = match &newest.view {
        None => format!("view:    none yet\nhead:    {head}\n"),
        Some(view) => format!(
            "view:    {}{}\nhead:    {head}\nvoters:  {}\nchain:   {}\n",
            view.number,
            if view.agreed {
                ""
            } else {
                " (not known to hold)"
            },
            status.names(&view.voters, ", "),
            status.names(&view.chain, " > "),
        ),
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
    let head = [
        "member", "internal", "program", "view", "stored", "peers", "state",
    ]
    .map(str::to_owned);
    let mut rows = vec![head.to_vec()];
    rows.extend(status.members.iter().map(|member| {
        let connected = member.peers.iter().filter(|peer| peer.connected).count();
        let state = if member.acting { "acting head" } else { "up" };
        vec![
            member.address.node_name.clone(),
            member.address.internal.to_string(),
            member.version.clone(),
            member
                .view
                .as_ref()
                .map_or("-".to_owned(), |view| view.number.to_string()),
            format!("{}/{}", member.stored.view, member.stored.seq),
            format!("{connected}/{}", member.peers.len()),
            state.to_owned(),
        ]
    }));
    rows.extend(status.unresponsive.iter().map(|member| {
        let name = status.name(member.internal);
        let mut row = vec![name, member.internal.to_string()];
        row.extend(["-", "-", "-", "-", "no answer"].map(str::to_owned));
        row
    }));
    format!("\n{}", table(&rows))
}

fn work_text(work: &WorkStatus) -> String {
    let mut text = format!("\nconfiguration: version {}\n", work.config_version);
    text.push_str(&format!("writes under way: {}\n", work.open_writes));
    if !work.services.is_empty() {
        let mut rows = vec![["service", "ready", "draining"].map(str::to_owned).to_vec()];
        rows.extend(work.services.iter().map(|service| {
            vec![
                service.service.clone(),
                service.ready.to_string(),
                service.draining.to_string(),
            ]
        }));
        text.push_str(&format!("\n{}", table(&rows)));
    }
    text.push_str(&queues_text(work));
    let ended = work.ended;
    let (completed, failed, cancelled) = (ended.completed, ended.failed, ended.cancelled);
    text.push_str(&format!(
        "jobs ended lately: {completed} completed, {failed} failed, {cancelled} cancelled\n"
    ));
    text
}

fn queues_text(work: &WorkStatus) -> String {
    if work.queues.is_empty() {
        return "\nno open jobs\n".to_owned();
    }
    let head = [
        "queue",
        "queued",
        "running",
        "tasks: waiting",
        "blocked",
        "running",
        "done",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(work.queues.iter().map(|queue| {
        let TaskCounts {
            waiting,
            blocked,
            running,
            done,
        } = queue.tasks;
        let counts = [queue.queued, queue.running, waiting, blocked, running, done];
        let mut row = vec![queue.queue.clone()];
        row.extend(counts.map(|count| count.to_string()));
        row
    }));
    format!("\n{}", table(&rows))
}

/// What is wrong with the cluster.
pub fn findings(status: &ClusterStatus) -> Vec<String> {
    let mut findings = Vec::new();
    let view = status.newest().and_then(|member| member.view.as_ref());
    if status.head().is_none() {
        findings.push("no member acts as head: no job and no order is taken".to_owned());
    }
    for member in &status.unresponsive {
        let votes = view.is_some_and(|view| view.voters.contains(&member.internal));
        if votes || view.is_none() {
            findings.push(format!(
                "{} does not answer: {}",
                status.name(member.internal),
                member.reason
            ));
        }
    }
    for voter in view.into_iter().flat_map(|view| &view.voters) {
        if view.is_some_and(|view| !view.chain.is_empty() && !view.chain.contains(voter)) {
            findings.push(format!(
                "{} votes and is not in the chain",
                status.name(*voter)
            ));
        }
    }
    for member in &status.members {
        let name = &member.address.node_name;
        if member.storage_failing {
            findings.push(format!("the disk of {name} refuses writes"));
        }
        let cut = |address: SocketAddr| view.is_some_and(|view| view.voters.contains(&address));
        for peer in member
            .peers
            .iter()
            .filter(|peer| !peer.connected && cut(peer.internal))
        {
            findings.push(format!(
                "{name} has no connection to {}",
                status.name(peer.internal)
            ));
        }
    }
    findings.extend(work_findings(status));
    findings
}

fn work_findings(status: &ClusterStatus) -> Vec<String> {
    let Some(work) = status.head().and_then(|head| head.work.as_ref()) else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    if work.unreadable_rows > 0 {
        findings.push(format!(
            "{} rows cannot be read by this version",
            work.unreadable_rows
        ));
    }
    findings
}
