//! Answers questions of the command line tool. The acting head reads all rows once for each question. Questions change no state
//! of the cluster.

use super::inspections::OpenQuestion;
use super::{CoreMember, Output};
use crate::clocks::Clocks;
use crate::inspection::{ClusterCapacity, TableSummary, job_report};
use crate::sessions::ConnectionId;
use crate::storage_thread::StorageRequest;
use indigofold_protocol::inspection::{
    InspectionAnswer, InspectionCall, InspectionQuery, InspectionReply, MemberStatus, PeerStatus,
    StoredState, ViewStatus, WorkStatus,
};
use indigofold_protocol::internal::{Frame, ProcessKind};
use indigofold_replication::{Member, StorageError, View};
use std::net::SocketAddr;

impl CoreMember {
    /// Handles a question of the tool. The acting head requests a summary of its rows first; other members answer at once.
    pub(super) fn handle_inspection(
        &mut self,
        clocks: Clocks,
        connection: ConnectionId,
        call: InspectionCall,
    ) {
        if !self.is_acting(clocks.steady_ms) {
            let answer = self.answer_without_rows(clocks, call.question);
            return self.send_inspection(connection, call.call, answer);
        }
        if self.inspections.is_full() {
            let reason = "too many questions are open; ask again".to_owned();
            let answer = InspectionAnswer::Unavailable { reason };
            return self.send_inspection(connection, call.call, answer);
        }
        let job = match call.question {
            InspectionQuery::Status => None,
            InspectionQuery::Job(id) => Some(id),
        };
        let summary = self.inspections.open(OpenQuestion { connection, call });
        self.outputs
            .push(Output::Storage(StorageRequest::Summarize { summary, job }));
    }

    /// Answers the question for which a summary of the rows was requested.
    pub(super) fn handle_summary(
        &mut self,
        clocks: Clocks,
        summary_number: u64,
        result: Result<Box<TableSummary>, StorageError>,
    ) {
        let Some(OpenQuestion { connection, call }) = self.inspections.close(summary_number) else {
            return;
        };
        let answer = match result {
            Err(error) => InspectionAnswer::Unavailable {
                reason: error.to_string(),
            },
            Ok(_) if !self.is_acting(clocks.steady_ms) => {
                self.answer_without_rows(clocks, call.question)
            }
            Ok(summary) => self.answer(clocks, call.question, &summary),
        };
        self.send_inspection(connection, call.call, answer);
    }

    fn send_inspection(&mut self, connection: ConnectionId, call: u64, answer: InspectionAnswer) {
        self.send(
            connection,
            Frame::Inspected(InspectionReply { call, answer }),
        );
    }

    /// Returns the answer of the acting head.
    fn answer(
        &self,
        clocks: Clocks,
        question: InspectionQuery,
        summary: &TableSummary,
    ) -> InspectionAnswer {
        match question {
            InspectionQuery::Status => {
                let work = Some(self.work_status(summary));
                InspectionAnswer::Status(Box::new(self.member_status(clocks, work)))
            }
            InspectionQuery::Job(_) => {
                let head = self.head_role.leading();
                let config = head.and_then(|head| head.config()).map(|config| &**config);
                let capacity = self.capacity(summary);
                let job = summary.job.as_ref();
                let report = job.map(|job| job_report(job, config, &capacity));
                InspectionAnswer::Job(report.map(Box::new))
            }
        }
    }

    /// Returns the answer of a member that is not the acting head.
    fn answer_without_rows(&self, clocks: Clocks, question: InspectionQuery) -> InspectionAnswer {
        match question {
            InspectionQuery::Status => {
                InspectionAnswer::Status(Box::new(self.member_status(clocks, None)))
            }
            InspectionQuery::Job(_) => InspectionAnswer::NotHead {
                head: self.replica.head(clocks.steady_ms),
            },
        }
    }

    fn member_status(&self, clocks: Clocks, work: Option<WorkStatus>) -> MemberStatus {
        let viewstamp = self.replica.stored_viewstamp();
        let view = self.replica.accepted_view();
        MemberStatus {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            address: self.settings.address.clone(),
            view: view.map(|(view, agreed)| view_status(view, agreed)),
            head: self.replica.head(clocks.steady_ms),
            acting: self.is_acting(clocks.steady_ms),
            stored: StoredState {
                view: viewstamp.view.0,
                seq: viewstamp.seq,
            },
            storage_failing: self.storage_failing,
            peers: self.peer_statuses(),
            agents: self.sessions.count(ProcessKind::Agent),
            edges: self.sessions.count(ProcessKind::Edge),
            work,
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let members = self.replica.members();
        let node_name_at = |internal: SocketAddr| {
            members
                .iter()
                .find(|member| member.internal == internal)
                .map(|member| member.node_name.clone())
        };
        let peers = self.replica.peers().into_iter();
        let peer_status = |internal| PeerStatus {
            internal,
            node_name: node_name_at(internal),
            connected: self.peers.connection(internal).is_some(),
        };
        peers.map(peer_status).collect()
    }

    fn work_status(&self, summary: &TableSummary) -> WorkStatus {
        let head = self.head_role.leading();
        WorkStatus {
            config_version: self.config_version(),
            open_writes: head.map_or(0, crate::acting_head::ActingHead::open_writes),
            services: self.capacity(summary).services(),
            queues: summary.queues.values().cloned().collect(),
            ended: summary.ended,
            unreadable_rows: summary.unreadable,
        }
    }

    fn capacity<'a>(&'a self, summary: &'a TableSummary) -> ClusterCapacity<'a> {
        ClusterCapacity {
            workers: self.sessions.workers().collect(),
            used: &summary.used,
        }
    }
}

fn view_status(view: &View, agreed: bool) -> ViewStatus {
    let addresses = |members: &[Member]| members.iter().map(|member| member.internal).collect();
    ViewStatus {
        number: view.number.0,
        agreed,
        voters: addresses(&view.voters),
        chain: addresses(&view.chain),
    }
}
