//! What instances ask each other. A question is a request, its answer a response.

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::LenderId;
use guavawell_core::grant::LoanAnswer;
use guavawell_core::grant::LoanAsk;
use guavawell_core::grant::LoanReturn;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::grant::decode_row;
use guavawell_core::grant::encode_row;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::poison::SuspicionList;

use super::FleetKey;
use crate::config::PeerConfig;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::RequestHead;
use crate::http::ResponseHead;

/// Largest head of a question or an answer, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 4 * 1024;
/// First segment of the target of a question for tokens.
const LOAN_PATH: &str = "loan";
/// First segment of the target of an account of lent tokens.
const RETURN_PATH: &str = "return";
/// Target of what is told of requests that crash servers.
const SUSPECTS_PATH: &str = "suspects";
/// First segment of the target of a question for the configuration.
const CONFIG_PATH: &str = "config";
/// Largest body of a question, in bytes: a whole list of suspects.
const MAX_BODY_BYTES: usize = 32 * 1024;
/// Second segment where the asker holds tokens too.
const SPARE_SCOPE: &str = "spare";
/// Second segment where the asker holds none.
const SHARE_SCOPE: &str = "share";
/// Field of a question that holds the number drawn for it.
pub(crate) const NONCE_FIELD: &str = "Nonce";
/// Field of questions and answers that names the version in force there.
pub(crate) const CONFIG_VERSION_FIELD: &str = "Config";
/// Field of an answer that names the version that the store told.
const STORED_VERSION_FIELD: &str = "Stored";
/// Field of an answer that says how many milliseconds ago it was the newest.
const CONFIG_AGE_FIELD: &str = "Age";
/// Field of an answer that says how many tokens were lent.
const LENT_FIELD: &str = "Lent";
/// Field of an answer that says why none were lent.
const CAUSE_FIELD: &str = "Cause";
/// Field of an answer that names the life of the process that lent.
const LENDER_NONCE_FIELD: &str = "Life";

/// What one instance asks another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerRequest {
    /// Lend tokens.
    Loan(OrganisationId, LoanAsk),
    /// Take in an account of lent tokens.
    Return(LoanReturn),
    /// Take in what is believed of requests that crash servers.
    Suspects(SuspicionList),
    /// Tell the configuration if it is newer than this version.
    Config(u64),
}

impl PeerRequest {
    /// The question as the target of a request.
    pub(crate) fn target(&self) -> String {
        match self {
            Self::Loan(organisation, ask) => {
                let scope = match ask.scope {
                    LoanScope::Spare => SPARE_SCOPE,
                    LoanScope::Share => SHARE_SCOPE,
                };
                let (needed, wanted) = (ask.needed, ask.wanted);
                format!("/{LOAN_PATH}/{scope}/{organisation}/{needed}/{wanted}")
            }
            Self::Return(account) => format!(
                "/{RETURN_PATH}/{}/{}/{}/{}",
                account.organisation, account.lender.nonce, account.unspent, account.spent
            ),
            Self::Suspects(_) => format!("/{SUSPECTS_PATH}"),
            Self::Config(known) => format!("/{CONFIG_PATH}/{known}"),
        }
    }

    /// The body of the request.
    pub(crate) fn body(&self) -> Vec<u8> {
        match self {
            Self::Loan(..) | Self::Return(_) | Self::Config(_) => Vec::new(),
            Self::Suspects(list) => encode_row(list).unwrap_or_else(|error| {
                log::error!("a list of suspects cannot be encoded: {error}");
                Vec::new()
            }),
        }
    }

    /// The question in a target and body that reached `own`; `None` if it is
    /// none.
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
                let ask = LoanAsk {
                    needed,
                    wanted,
                    scope,
                };
                Self::Loan(organisation, ask)
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
            SUSPECTS_PATH => {
                let list = decode_row(body).inspect_err(|error| {
                    log::warn!("another instance's list of suspects: {error}");
                });
                Self::Suspects(list.ok()?)
            }
            CONFIG_PATH => Self::Config(parts.next()?.parse().ok()?),
            _ => return None,
        };
        parts.next().is_none().then_some(request)
    }
}

/// Writes an answer to a question for tokens.
pub(crate) fn write_loan_answer(writer: &mut HeadWriter, answer: LoanAnswer, nonce: u64) {
    writer.field_of(LENT_FIELD, answer.tokens);
    writer.field_of(CAUSE_FIELD, answer.cause.as_str());
    writer.field_of(LENDER_NONCE_FIELD, nonce);
}

/// Reads an answer to a question for tokens: what was lent, by which life of
/// the process.
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

/// Writes what is told of the configuration.
pub(crate) fn write_config(writer: &mut HeadWriter, answer: &PeerConfig) {
    writer.field_of(STORED_VERSION_FIELD, answer.version);
    writer.field_of(CONFIG_AGE_FIELD, answer.age.as_millis());
}

/// Reads what is told of the configuration.
pub(crate) fn read_config(head: &ResponseHead, body: Vec<u8>) -> Option<PeerConfig> {
    let version = head.fields.get(STORED_VERSION_FIELD)?.parse().ok()?;
    let age = head.fields.get(CONFIG_AGE_FIELD)?.parse().ok()?;
    Some(PeerConfig {
        version,
        age: ClockSpan::from_millis(age),
        bytes: body,
    })
}

/// A question as it was received.
pub(crate) struct ReceivedRequest {
    /// Its head.
    pub(crate) head: RequestHead,
    /// The bytes of its head.
    bytes: Vec<u8>,
    /// Its body.
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
    /// Reads one question.
    pub(crate) async fn read(channel: &mut HttpChannel) -> Result<Self, ChannelError> {
        let length = channel.head(MAX_HEAD_BYTES).await?;
        let bytes = channel.received()[..length].to_vec();
        let head = RequestHead::parse(&bytes)?;
        channel.consume(length);
        let body = channel.body(head.framing, MAX_BODY_BYTES).await?;
        Ok(Self { head, bytes, body })
    }

    /// The number that the asker drew, if the question bears the key's proof.
    pub(crate) fn authenticated_nonce(&self, key: FleetKey) -> Option<u64> {
        let nonce = self.head.fields.get(NONCE_FIELD)?.parse().ok()?;
        let verified = key.verify(&self.bytes, nonce, &self.body);
        verified.then_some(nonce)
    }
}
