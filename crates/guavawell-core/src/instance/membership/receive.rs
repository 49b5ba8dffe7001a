//! Handling of received messages.

use std::net::SocketAddr;

use super::MemberEffect;
use super::Membership;
use super::RumourOrigin;
use super::send::SendTarget;
use crate::clock::ClockTime;
use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::instance::allowance::SendPriority;
use crate::instance::message::GossipMessage;
use crate::instance::message::GossipRumour;
use crate::instance::message::MessageBody;
use crate::instance::note::GossipNote;
use crate::instance::probe::ProbeOrigin;
use crate::instance::record::MemberRecord;

impl Membership {
    /// Handles a message received from the address `from`.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: &GossipMessage,
        now: ClockTime,
    ) -> Vec<MemberEffect> {
        let sender = &message.sender;
        let is_own_message =
            sender.instance == self.own.instance && sender.incarnation == self.own.incarnation;
        if self.superseded || is_own_message {
            return Vec::new();
        }
        self.merge(sender, RumourOrigin::Gossip, now);
        self.apply_rumours(message, now);
        if !self.superseded {
            let target = SendTarget {
                address: from,
                zone: Some(sender.zone.clone()),
            };
            self.handle_body(&target, &message.body, now);
            self.send_contradicting_record(&target, sender, now);
        }
        std::mem::take(&mut self.effects)
    }

    fn apply_rumours(&mut self, message: &GossipMessage, now: ClockTime) {
        let from_sync = matches!(
            message.body,
            MessageBody::Page | MessageBody::Difference { .. }
        );
        let origin = if from_sync {
            RumourOrigin::Sync
        } else {
            RumourOrigin::Gossip
        };
        for rumour in &message.rumours {
            match rumour {
                GossipRumour::Member(record) => self.merge(record, origin, now),
                GossipRumour::Note(note) => self.apply_note(note, now),
                GossipRumour::Manifest {
                    instance,
                    incarnation,
                    manifest,
                } => {
                    let Some(entry) = self.directory.find(instance) else {
                        continue;
                    };
                    if entry.record.incarnation == *incarnation {
                        let record = MemberRecord {
                            manifest: *manifest,
                            ..(*entry.record).clone()
                        };
                        self.merge(&record, origin, now);
                    }
                }
            }
        }
    }

    fn apply_note(&mut self, note: &GossipNote, now: ClockTime) {
        if self.publish(note, now).is_err() {
            self.counts.notes_refused += 1;
        }
    }

    fn handle_body(&mut self, target: &SendTarget, body: &MessageBody, now: ClockTime) {
        match body {
            MessageBody::News | MessageBody::Page => {}
            MessageBody::Ping {
                probe,
                target: asked,
            } => self.handle_ping(target, *probe, asked, now),
            MessageBody::Ack {
                probe,
                target: answered,
                incarnation,
            } => self.handle_ack(*probe, answered, *incarnation, now),
            MessageBody::PingRequest {
                probe,
                target: asked,
                address,
            } => self.relay_ping(target.address, *probe, asked, *address, now),
            MessageBody::Digest { buckets, notes } => {
                self.handle_digest(target, buckets, *notes, now);
            }
            MessageBody::Difference {
                buckets,
                notes,
                more,
            } => {
                self.send_pages(target, buckets, *notes, now);
                if *more {
                    self.retry_sync(target.address, now);
                }
            }
        }
    }

    fn handle_ping(&mut self, target: &SendTarget, probe: u64, asked: &InstanceId, now: ClockTime) {
        if *asked != self.own.instance {
            return;
        }
        let body = MessageBody::Ack {
            probe,
            target: self.own.instance.clone(),
            incarnation: self.own.incarnation,
        };
        self.send(target, body, Vec::new(), SendPriority::Urgent, now);
    }

    fn handle_ack(
        &mut self,
        probe: u64,
        answered: &InstanceId,
        incarnation: IncarnationId,
        now: ClockTime,
    ) {
        let Some(probe) = self.probes.complete(probe, answered, incarnation) else {
            return;
        };
        let ProbeOrigin::Relayed {
            requester,
            probe: number,
        } = probe.origin
        else {
            self.record_cross_zone_answer(&probe.target);
            return;
        };
        let body = MessageBody::Ack {
            probe: number,
            target: probe.target,
            incarnation,
        };
        let target = SendTarget::at(requester);
        self.send(&target, body, Vec::new(), SendPriority::Urgent, now);
    }

    /// Returns to the usual share of cross-zone probes after another zone answered.
    fn record_cross_zone_answer(&mut self, answered: &InstanceId) {
        let entry = self.directory.find(answered);
        if entry.is_some_and(|entry| entry.record.zone != self.own.zone) {
            self.cross_zone_unanswered = false;
        }
    }

    fn relay_ping(
        &mut self,
        requester: SocketAddr,
        probe: u64,
        asked: &InstanceId,
        address: SocketAddr,
        now: ClockTime,
    ) {
        let known = self.directory.find(asked);
        let incarnation =
            known.map_or_else(IncarnationId::default, |entry| entry.record.incarnation);
        let origin = ProbeOrigin::Relayed { requester, probe };
        let number = self
            .probes
            .register(asked.clone(), incarnation, origin, now);
        let body = MessageBody::Ping {
            probe: number,
            target: asked.clone(),
        };
        let target = SendTarget::at(address);
        self.send(&target, body, Vec::new(), SendPriority::Urgent, now);
    }

    /// Sends the sender a record that contradicts its own, so that it can refute it.
    fn send_contradicting_record(
        &mut self,
        target: &SendTarget,
        sender: &MemberRecord,
        now: ClockTime,
    ) {
        if let Some(contradiction) = self.directory.contradicting_record(sender) {
            let first = vec![GossipRumour::Member(contradiction)];
            self.send(target, MessageBody::News, first, SendPriority::Urgent, now);
        }
    }
}
