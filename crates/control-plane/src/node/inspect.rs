//! Questions of the command line tool: answered from what this member knows. The acting head has the rows read once for
//! each question; nothing changes any state.

use super::{Home, Node, Output};
use crate::head::Clocks;
use crate::inspection::{Room, Survey, WorkerAccount, job_report};
use crate::sessions::ConnectionId;
use crate::storage_thread::StorageRequest;
use indigofold_protocol::inspection::{
    InspectionAnswer, InspectionCall, InspectionReply, MemberStatus, PeerStatus, Question,
    StoredState, ViewStatus, WorkStatus,
};
use indigofold_protocol::internal::{Frame, ProcessKind};
use indigofold_replication::{Member, StorageError, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// So many questions wait for the storage thread at a time.
const OPEN_MAX: usize = 4;

/// Questions that wait for the storage thread, by the number of their surveys.
#[derive(Debug, Default)]
pub(super) struct Inspections {
    open: BTreeMap<u64, (ConnectionId, InspectionCall)>,
    next: u64,
}

impl Node {
    /// The tool asks. A head has its rows read first.
    pub(super) fn inspect(
        &mut self,
        clocks: Clocks,
        connection: ConnectionId,
        call: InspectionCall,
    ) {
        if !self.acts(clocks.steady_ms) {
            let answer = self.answer_elsewhere(clocks, call.question);
            return self.inspected(connection, call.call, answer);
        }
        if self.inspections.open.len() >= OPEN_MAX {
            let reason = "too many questions are open; ask again".to_owned();
            return self.inspected(
                connection,
                call.call,
                InspectionAnswer::Unavailable { reason },
            );
        }
        let job = match call.question {
            Question::Status => None,
            Question::Job(id) => Some(id),
        };
        let survey = self.inspections.next;
        self.inspections.next += 1;
        self.inspections.open.insert(survey, (connection, call));
        self.outputs
            .push(Output::Storage(StorageRequest::Survey { survey, job }));
    }

    /// The rows are read.
    pub(super) fn surveyed(
        &mut self,
        clocks: Clocks,
        survey: u64,
        result: Result<Box<Survey>, StorageError>,
    ) {
        let Some((connection, call)) = self.inspections.open.remove(&survey) else {
            return;
        };
        let answer = match result {
            Err(error) => InspectionAnswer::Unavailable {
                reason: error.to_string(),
            },
            Ok(_) if !self.acts(clocks.steady_ms) => self.answer_elsewhere(clocks, call.question),
            Ok(survey) => match call.question {
                Question::Status => {
                    let work = Some(self.work(&survey));
                    InspectionAnswer::Status(Box::new(self.member_status(clocks, work)))
                }
                Question::Job(_) => {
                    let config = self.head_here().and_then(|head| head.config());
                    let room = Room {
                        workers: self.worker_accounts(),
                        used: &survey.used,
                    };
                    let job = survey.job.as_ref();
                    let report =
                        job.map(|job| job_report(job, config.map(|config| &**config), &room));
                    InspectionAnswer::Job(report.map(Box::new))
                }
            },
        };
        self.inspected(connection, call.call, answer);
    }

    fn inspected(&mut self, connection: ConnectionId, call: u64, answer: InspectionAnswer) {
        let frame = Frame::Inspected(InspectionReply { call, answer });
        self.outputs.push(Output::Send { connection, frame });
    }

    /// What a member tells that is not the acting head.
    fn answer_elsewhere(&self, clocks: Clocks, question: Question) -> InspectionAnswer {
        match question {
            Question::Status => {
                InspectionAnswer::Status(Box::new(self.member_status(clocks, None)))
            }
            Question::Job(_) => InspectionAnswer::NotHead {
                head: self.replica.head(clocks.steady_ms),
            },
        }
    }

    fn member_status(&self, clocks: Clocks, work: Option<WorkStatus>) -> MemberStatus {
        let viewstamp = self.replica.stored_viewstamp();
        let connected = |kind| self.sessions.iter().filter(|(_, s)| s.kind == kind).count() as u32;
        MemberStatus {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            address: self.settings.address.clone(),
            view: self
                .replica
                .accepted_view()
                .map(|(view, agreed)| view_status(view, agreed)),
            head: self.replica.head(clocks.steady_ms),
            acting: self.acts(clocks.steady_ms),
            stored: StoredState {
                view: viewstamp.view,
                seq: viewstamp.seq,
            },
            storage_failing: self.storage_failing,
            peers: self.peer_statuses(),
            agents: connected(ProcessKind::Agent),
            edges: connected(ProcessKind::Edge),
            work,
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let members = self.replica.members();
        let name = |internal: SocketAddr| {
            members
                .iter()
                .find(|member| member.internal == internal)
                .map(|member| member.node_name.clone())
        };
        let peers = self.replica.peers().into_iter();
        let status = |internal| PeerStatus {
            internal,
            node_name: name(internal),
            connected: self.peers.connection(internal).is_some(),
        };
        peers.map(status).collect()
    }

    fn work(&self, survey: &Survey) -> WorkStatus {
        let head = self.head_here();
        let room = Room {
            workers: self.worker_accounts(),
            used: &survey.used,
        };
        WorkStatus {
            config_version: head
                .and_then(|head| head.config())
                .map_or(0, |config| config.version),
            open_writes: head.map_or(0, |head| head.open_writes()),
            services: room.services(),
            queues: survey.queues.values().cloned().collect(),
            ended: survey.ended,
            unreadable_rows: survey.unreadable,
        }
    }

    fn worker_accounts(&self) -> Vec<&WorkerAccount> {
        self.sessions
            .iter()
            .filter_map(|(_, session)| session.worker.as_ref())
            .collect()
    }

    fn head_here(&self) -> Option<&crate::head::Head> {
        match &self.home {
            Home::Here(head) => Some(head),
            Home::Elsewhere | Home::Loading { .. } => None,
        }
    }
}

fn view_status(view: &View, agreed: bool) -> ViewStatus {
    let addresses = |members: &[Member]| members.iter().map(|member| member.internal).collect();
    ViewStatus {
        number: view.number,
        agreed,
        voters: addresses(&view.voters),
        chain: addresses(&view.chain),
    }
}
