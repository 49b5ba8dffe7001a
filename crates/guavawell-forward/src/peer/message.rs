//! Messages between instances, as HTTP requests and responses.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::EvacuationList;
use guavawell_core::forward::RequestRate;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::parse_cold_span;
use guavawell_core::grant::LenderId;
use guavawell_core::grant::LoanAnswer;
use guavawell_core::grant::LoanRequest;
use guavawell_core::grant::LoanReturn;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::grant::decode_row;
use guavawell_core::grant::encode_row;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ZoneId;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::SuspicionList;
use guavawell_core::stream::SharedOrigin;
use guavawell_core::stream::StreamOrigin;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::PeerConfig;
use crate::config::PeerReturn;
use crate::config::PeerReturns;
use crate::continuation::OriginQuestion;
use crate::http::HeadWriter;
use crate::http::ResponseHead;
use crate::poison::parts::PartCrash;
use crate::tunnel::RefusalNameError;
use crate::tunnel::TunnelFraming;
use crate::tunnel::TunnelRefusal;

/// Largest head of a request or response, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 4 * 1024;
/// First path segment of a loan request.
const LOAN_PATH: &str = "loan";
/// First path segment of a loan return.
const RETURN_PATH: &str = "return";
/// Path of a list of suspects: requests that crash servers.
const SUSPECTS_PATH: &str = "suspects";
/// First path segment of a request for the configuration.
const CONFIG_PATH: &str = "config";
/// First path segment of a report of a rate limit; the server's id and start, the limit
/// and the age follow.
const LIMIT_PATH: &str = "limit";
/// First path segment of a report of servers' cold times; the revision after whose
/// changes they were asked follows. Each line of the body has a server's id, its start
/// and the cold time in milliseconds, separated by slashes.
const WARMTH_PATH: &str = "warmth";
/// Path of a list of streams and of where they began.
const ORIGINS_PATH: &str = "origins";
/// First path segment of a question where a stream began; the stream, if the caller
/// names it, and the fingerprint of the request follow.
const ORIGIN_PATH: &str = "origin";
/// Path of a list of crashes under parts of prompts.
const PART_CRASHES_PATH: &str = "part-crashes";
/// Path of a question for good answers with parts of prompts.
const PART_GOOD_PATH: &str = "part-good";
/// Stream that its caller does not name.
const UNNAMED_STREAM: &str = "-";
/// Limit of a server that states none.
const NO_LIMIT: &str = "-";
/// First path segment of a request for a connection to a server; the server's id
/// and start follow.
const TUNNEL_PATH: &str = "record-tunnel";
/// The same from an instance of a version without records.
const PLAIN_TUNNEL_PATH: &str = "tunnel";
/// Start of a server that does not state it.
const UNKNOWN_START: &str = "-";
/// Largest request body, in bytes: a full list of suspects.
pub(crate) const MAX_BODY_BYTES: usize = 32 * 1024;
/// Second path segment of a loan to an instance that holds tokens itself.
const SPARE_SCOPE: &str = "spare";
/// Second path segment of a loan to an instance that holds none.
const SHARE_SCOPE: &str = "share";
/// Request field: random number that the proofs of request and response cover.
pub(crate) const NONCE_FIELD: &str = "Nonce";
/// Field of requests and responses: version of the configuration in force at the
/// sender.
pub(crate) const CONFIG_VERSION_FIELD: &str = "Config";
/// Response field: configuration version that the sender read from the store.
const STORED_VERSION_FIELD: &str = "Stored";
/// Response field: milliseconds since that version was known to be the newest.
const CONFIG_AGE_FIELD: &str = "Age";
/// Response field: revision of the store at which the sender read the evacuated
/// zones, then the zones, separated by commas.
const EVACUATED_FIELD: &str = "Evacuated";
/// Response field: revision of the store after which the sender knows all ends of
/// evacuations, then the last one of each zone as revision, milliseconds since the
/// sender learned of it, and zone, separated by slashes. All separated by commas.
const RETURNED_FIELD: &str = "Returned";
/// Response field: number of tokens lent.
const LENT_FIELD: &str = "Lent";
/// Response field: why no tokens were lent, or no connection was opened.
const CAUSE_FIELD: &str = "Cause";
/// Response field: nonce of the lending process, which differs after a restart.
const LENDER_NONCE_FIELD: &str = "Life";

/// What a server stated of its rate limit, as the sender heard it from the server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitReport {
    /// The server.
    pub(crate) server: ServerIncarnation,
    /// The limit; `None` if the server states none any more.
    pub(crate) rate: Option<RequestRate>,
    /// Time since the sender heard it.
    pub(crate) age: ClockSpan,
}

/// What a server answered when it was asked whether it is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerAnswer {
    /// The server.
    pub(crate) server: ServerIncarnation,
    /// How much longer it is cold.
    pub(crate) cold: ClockSpan,
}

/// Servers' answers that the sender heard from them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WarmthReport {
    /// All were asked after the changes of the store up to this revision.
    pub(crate) revision: u64,
    /// The answers.
    pub(crate) answers: Vec<ServerAnswer>,
}

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PeerRequest {
    /// Asks for a loan of tokens.
    Loan(OrganisationId, LoanRequest),
    /// Returns unspent tokens of a loan and reports the spent ones.
    Return(LoanReturn),
    /// Sends suspicions of requests that crash servers.
    Suspects(SuspicionList),
    /// Asks for the configuration if it is newer than this version.
    Config(u64),
    /// Tells what a server stated of its rate limit.
    Limit(LimitReport),
    /// Tells whether servers are cold.
    Warmth(WarmthReport),
    /// Tells where streams began.
    Origins(Vec<SharedOrigin>),
    /// Asks where a stream began.
    Origin(OriginQuestion),
    /// Reports crashes under parts of prompts to their judge.
    PartCrashes(Vec<PartCrash>),
    /// Asks for the numbers of recent good answers with parts of prompts.
    PartGood(Vec<RequestFingerprint>),
    /// Asks for a connection to a server. After a positive answer, all further bytes
    /// of the connection are the server's, in this framing.
    Tunnel(ServerIncarnation, TunnelFraming),
}

impl PeerRequest {
    /// The path of the HTTP request.
    pub(crate) fn target(&self) -> String {
        match self {
            Self::Loan(organisation, loan) => {
                let scope = match loan.scope {
                    LoanScope::Spare => SPARE_SCOPE,
                    LoanScope::Share => SHARE_SCOPE,
                };
                let (needed, wanted) = (loan.needed, loan.wanted);
                format!("/{LOAN_PATH}/{scope}/{organisation}/{needed}/{wanted}")
            }
            Self::Return(loan_return) => format!(
                "/{RETURN_PATH}/{}/{}/{}/{}",
                loan_return.organisation,
                loan_return.lender.nonce,
                loan_return.unspent,
                loan_return.spent
            ),
            Self::Suspects(_) => format!("/{SUSPECTS_PATH}"),
            Self::Config(known) => format!("/{CONFIG_PATH}/{known}"),
            Self::Limit(report) => {
                let server = server_path(&report.server);
                let rate = report.rate.map(|rate| rate.to_string());
                let rate = rate.as_deref().unwrap_or(NO_LIMIT);
                let age = report.age.as_millis();
                format!("/{LIMIT_PATH}/{server}/{rate}/{age}")
            }
            Self::Warmth(report) => format!("/{WARMTH_PATH}/{}", report.revision),
            Self::Origins(_) => format!("/{ORIGINS_PATH}"),
            Self::PartCrashes(_) => format!("/{PART_CRASHES_PATH}"),
            Self::PartGood(_) => format!("/{PART_GOOD_PATH}"),
            Self::Origin(question) => {
                let stream = question.stream.map(|stream| stream.to_string());
                let stream = stream.as_deref().unwrap_or(UNNAMED_STREAM);
                format!("/{ORIGIN_PATH}/{stream}/{}", question.fingerprint)
            }
            Self::Tunnel(server, framing) => {
                let path = match framing {
                    TunnelFraming::Records => TUNNEL_PATH,
                    TunnelFraming::Plain => PLAIN_TUNNEL_PATH,
                };
                format!("/{path}/{}", server_path(server))
            }
        }
    }

    /// The body of the HTTP request.
    pub(crate) fn body(&self) -> Vec<u8> {
        match self {
            Self::Loan(..)
            | Self::Return(_)
            | Self::Config(_)
            | Self::Limit(_)
            | Self::Origin(_)
            | Self::Tunnel(..) => Vec::new(),
            Self::Origins(origins) => encoded(origins),
            Self::PartCrashes(crashes) => encoded(crashes),
            Self::PartGood(parts) => encoded(parts),
            Self::Warmth(report) => answer_lines(&report.answers).into_bytes(),
            Self::Suspects(list) => encoded(list),
        }
    }

    /// Parses the path and body of a request received by the instance `own`; `None` if
    /// they are malformed.
    pub(crate) fn parse(target: &str, body: &[u8], own: &InstanceId) -> Option<Self> {
        let mut parts = target.strip_prefix('/')?.split('/');
        let request = match parts.next()? {
            LOAN_PATH => {
                let scope = match parts.next()? {
                    SPARE_SCOPE => LoanScope::Spare,
                    SHARE_SCOPE => LoanScope::Share,
                    _ => return None,
                };
                let organisation = parts.next()?.parse().ok()?;
                let needed = parts.next()?.parse().ok()?;
                let wanted = parts.next()?.parse().ok()?;
                let loan = LoanRequest {
                    needed,
                    wanted,
                    scope,
                };
                Self::Loan(organisation, loan)
            }
            RETURN_PATH => {
                let organisation = parts.next()?.parse().ok()?;
                let lender = LenderId {
                    instance: own.clone(),
                    nonce: parts.next()?.parse().ok()?,
                };
                Self::Return(LoanReturn {
                    lender,
                    organisation,
                    unspent: parts.next()?.parse().ok()?,
                    spent: parts.next()?.parse().ok()?,
                })
            }
            SUSPECTS_PATH => Self::Suspects(decoded(body)?),
            ORIGINS_PATH => Self::Origins(decoded(body)?),
            PART_CRASHES_PATH => Self::PartCrashes(decoded(body)?),
            PART_GOOD_PATH => Self::PartGood(decoded(body)?),
            ORIGIN_PATH => Self::Origin(OriginQuestion {
                stream: match parts.next()? {
                    UNNAMED_STREAM => None,
                    stream => Some(stream.parse().ok()?),
                },
                fingerprint: parts.next()?.parse().ok()?,
            }),
            CONFIG_PATH => Self::Config(parts.next()?.parse().ok()?),
            LIMIT_PATH => Self::Limit(LimitReport {
                server: parse_server(&mut parts)?,
                rate: match parts.next()? {
                    NO_LIMIT => None,
                    rate => Some(rate.parse().ok()?),
                },
                age: ClockSpan::from_millis(parts.next()?.parse().ok()?),
            }),
            WARMTH_PATH => Self::Warmth(WarmthReport {
                revision: parts.next()?.parse().ok()?,
                answers: parse_answers(body)?,
            }),
            TUNNEL_PATH => Self::Tunnel(parse_server(&mut parts)?, TunnelFraming::Records),
            PLAIN_TUNNEL_PATH => Self::Tunnel(parse_server(&mut parts)?, TunnelFraming::Plain),
            _ => return None,
        };
        parts.next().is_none().then_some(request)
    }
}

/// The body of a message.
fn encoded(content: &impl Serialize) -> Vec<u8> {
    encode_row(content).unwrap_or_else(|error| {
        log::error!("cannot encode a message: {error}");
        Vec::new()
    })
}

/// The content of another instance's message; `None` if it is malformed.
fn decoded<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let content = decode_row(body).inspect_err(|error| {
        log::warn!("cannot decode another instance's message: {error}");
    });
    content.ok()
}

/// The response body to a question where a stream began: empty if it is not known.
pub(crate) fn origin_answer(origin: Option<&StreamOrigin>) -> Vec<u8> {
    origin.map(encoded).unwrap_or_default()
}

/// Reads the response to a question where a stream began.
pub(crate) fn read_origin(body: &[u8]) -> Option<StreamOrigin> {
    if body.is_empty() {
        return None;
    }
    decoded(body)
}

/// The response body to a question for good answers: a number for each part.
pub(crate) fn good_count_answer(counts: &[usize]) -> Vec<u8> {
    encoded(&counts)
}

/// Reads the response to a question for good answers; `None` if it is malformed.
pub(crate) fn read_good_counts(body: &[u8]) -> Option<Vec<usize>> {
    decoded(body)
}

/// The two path segments that identify a server: its id and start.
fn server_path(server: &ServerIncarnation) -> String {
    let born = server.born.map(|born| born.to_string());
    let born = born.as_deref().unwrap_or(UNKNOWN_START);
    format!("{}/{born}", server.id)
}

fn parse_server<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Option<ServerIncarnation> {
    Some(ServerIncarnation {
        id: parts.next()?.parse().ok()?,
        born: match parts.next()? {
            UNKNOWN_START => None,
            born => Some(born.parse().ok()?),
        },
    })
}

fn answer_lines(answers: &[ServerAnswer]) -> String {
    let lines = answers.iter().map(|answer| {
        let cold_ms = answer.cold.as_millis();
        format!("{}/{cold_ms}\n", server_path(&answer.server))
    });
    lines.collect()
}

/// Parses servers' answers; `None` if any is malformed.
fn parse_answers(body: &[u8]) -> Option<Vec<ServerAnswer>> {
    let lines = std::str::from_utf8(body).ok()?.lines();
    let answers = lines.map(|line| {
        let mut parts = line.split('/');
        let answer = ServerAnswer {
            server: parse_server(&mut parts)?,
            cold: parse_cold_span(parts.next()?).ok()?,
        };
        parts.next().is_none().then_some(answer)
    });
    answers.collect()
}

/// Writes the response fields of a loan request.
pub(crate) fn write_loan_answer(writer: &mut HeadWriter, answer: LoanAnswer, nonce: u64) {
    writer.field_of(LENT_FIELD, answer.tokens);
    writer.field_of(CAUSE_FIELD, answer.cause.as_str());
    writer.field_of(LENDER_NONCE_FIELD, nonce);
}

/// Reads the response to a loan request: the lender's answer and the nonce of its
/// process.
pub(crate) fn read_loan_answer(head: &ResponseHead) -> Option<(LoanAnswer, u64)> {
    let tokens = head.fields.get(LENT_FIELD)?.parse().ok()?;
    let nonce = head.fields.get(LENDER_NONCE_FIELD)?.parse().ok()?;
    let cause = head.fields.get(CAUSE_FIELD)?.parse().ok();
    let answer = LoanAnswer {
        tokens,
        cause: cause.unwrap_or(ReserveAnswer::Unknown),
    };
    Some((answer, nonce))
}

/// Writes the response fields of a request for a connection, which is open unless
/// there is a refusal.
pub(crate) fn write_tunnel_answer(writer: &mut HeadWriter, refusal: Option<TunnelRefusal>) {
    if let Some(refusal) = refusal {
        writer.field_of(CAUSE_FIELD, refusal);
    }
}

/// Reads the response to a request for a connection: why it is not open, or `None` if
/// it is.
pub(crate) fn read_tunnel_answer(
    head: &ResponseHead,
) -> Result<Option<TunnelRefusal>, RefusalNameError> {
    let cause = head.fields.get(CAUSE_FIELD);
    cause.map(str::parse).transpose()
}

/// Writes the response fields of a request for the configuration.
pub(crate) fn write_config(writer: &mut HeadWriter, answer: &PeerConfig) {
    writer.field_of(STORED_VERSION_FIELD, answer.version);
    writer.field_of(CONFIG_AGE_FIELD, answer.age.as_millis());
    if let Some(list) = &answer.evacuations {
        writer.field_of(EVACUATED_FIELD, evacuation_text(list));
    }
    if let Some(returns) = &answer.returns {
        writer.field_of(RETURNED_FIELD, return_text(returns));
    }
}

fn return_text(returns: &PeerReturns) -> String {
    let parts = returns.returns.iter().map(|told| {
        let (revision, age, zone) = (told.revision, told.age.as_millis(), &told.zone);
        format!("{revision}/{age}/{zone}")
    });
    let parts = std::iter::once(returns.complete_from.to_string()).chain(parts);
    parts.collect::<Vec<String>>().join(",")
}

/// Parses the ends of evacuations; `None` if any part is malformed.
fn parse_returns(text: &str) -> Option<PeerReturns> {
    let mut parts = text.split(',');
    let complete_from = parts.next()?.parse().ok();
    let returns: Option<Vec<PeerReturn>> = parts.map(parse_return).collect();
    let parsed = complete_from.zip(returns);
    if parsed.is_none() {
        log::warn!("cannot decode another instance's ends of evacuations");
    }
    let (complete_from, returns) = parsed?;
    Some(PeerReturns {
        complete_from,
        returns,
    })
}

fn parse_return(text: &str) -> Option<PeerReturn> {
    let (revision, rest) = text.split_once('/')?;
    let (age, zone) = rest.split_once('/')?;
    Some(PeerReturn {
        zone: zone.parse().ok()?,
        revision: revision.parse().ok()?,
        age: ClockSpan::from_millis(age.parse().ok()?),
    })
}

fn evacuation_text(list: &EvacuationList) -> String {
    let zones = list.zones.iter().map(ZoneId::as_str);
    let parts = std::iter::once(list.revision.to_string()).chain(zones.map(String::from));
    parts.collect::<Vec<String>>().join(",")
}

/// Parses the list of evacuated zones; `None` if it is malformed.
fn parse_evacuations(text: &str) -> Option<EvacuationList> {
    let mut parts = text.split(',');
    let revision = parts.next()?.parse().ok()?;
    let zones: Result<Vec<ZoneId>, _> = parts.map(str::parse).collect();
    let zones = zones.inspect_err(|error| {
        log::warn!("cannot decode another instance's list of evacuated zones: {error}");
    });
    Some(EvacuationList {
        revision,
        zones: zones.ok()?,
    })
}

/// Reads the response to a request for the configuration.
pub(crate) fn read_config(head: &ResponseHead, body: Vec<u8>) -> Option<PeerConfig> {
    let version = head.fields.get(STORED_VERSION_FIELD)?.parse().ok()?;
    let age = head.fields.get(CONFIG_AGE_FIELD)?.parse().ok()?;
    Some(PeerConfig {
        version,
        age: ClockSpan::from_millis(age),
        bytes: body,
        evacuations: head.fields.get(EVACUATED_FIELD).and_then(parse_evacuations),
        returns: head.fields.get(RETURNED_FIELD).and_then(parse_returns),
    })
}
