//! The configuration's way to other routers, and the answers to theirs.

use std::sync::Arc;

use futures::FutureExt;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::MemberRecord;

use crate::config::ConfigHandle;
use crate::config::ConfigPeers;
use crate::gossip::GossipDriver;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::slot::PeerLink;

/// Asks the routers that gossip holds routable, those of this zone first.
pub fn config_peers(link: PeerLink, gossip: GossipDriver) -> ConfigPeers {
    let link = Arc::new(link);
    let pages_link = Arc::clone(&link);
    ConfigPeers {
        live: Box::new(move || nearest_peers(&gossip)),
        row: Box::new(move |peer| {
            let answer = (link.call)(peer, PeerRequest::Version);
            async move {
                match answer.await {
                    Ok(PeerReply::Version(row)) => row,
                    _ => None,
                }
            }
            .boxed()
        }),
        pages: Box::new(move |peer, digests| {
            let answer = (pages_link.call)(peer, PeerRequest::Pages(digests));
            async move {
                match answer.await {
                    Ok(PeerReply::Pages(pages)) => pages,
                    _ => Vec::new(),
                }
            }
            .boxed()
        }),
    }
}

fn nearest_peers(gossip: &GossipDriver) -> Vec<InstanceId> {
    let members = gossip.view();
    let own = members.own();
    let others = members.routable().filter(|m| m.instance != own.instance);
    let (near, far): (Vec<_>, Vec<_>) = others.partition(|member| member.zone == own.zone);
    let nearest = near.into_iter().chain(far);
    nearest.map(|member| member.instance.clone()).collect()
}

/// One of the members with the newest version, if that is newer than `own`:
/// another one for another `draw`, as this router's links to some may be cut.
pub fn newest_member<'m>(
    members: impl Iterator<Item = &'m MemberRecord>,
    own: ManifestVersion,
    draw: usize,
) -> Option<&'m MemberRecord> {
    let ahead: Vec<_> = members.filter(|member| member.manifest > own).collect();
    let newest = ahead.iter().map(|member| member.manifest).max()?;
    let ahead = ahead.iter().filter(|member| member.manifest == newest);
    let ahead: Vec<_> = ahead.collect();
    Some(ahead[draw % ahead.len()])
}

/// Answers a question about the configuration; `None` if it is none.
pub fn answer_news(config: &ConfigHandle, request: &PeerRequest) -> Option<PeerReply> {
    match request {
        PeerRequest::Version => {
            let in_force = config.load().in_force.clone();
            Some(PeerReply::Version(in_force.map(|held| held.row)))
        }
        PeerRequest::Pages(digests) => Some(PeerReply::Pages(config.stored_pages(digests))),
        _ => None,
    }
}
