//! The plan file, in TOML.

use guavawell_core::clock::ClockSpan;
use guavawell_core::finding::line_at;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::ArrivalMode;
use super::BudgetExpectation;
use super::LoadPlan;
use super::RetryPolicy;
use super::TargetKind;
use super::finding::FindingList;
use super::finding::PlanFinding;
use super::profile::CallKind;
use super::profile::ChatCall;
use super::profile::RequestProfile;
use super::profile::ServiceCall;
use super::profile::SizeRange;
use super::table::TableReader;

/// Reads a plan file.
///
/// # Errors
///
/// All findings of the file together, in the order of their lines. Whether
/// the plan is complete is for [`LoadPlan::check`] to say, once command line
/// flags have been put over it.
pub fn parse_plan(text: &str) -> Result<LoadPlan, FindingList> {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut findings = FindingList::default();
    for error in errors {
        findings.push(PlanFinding {
            line: error.span().map(|span| line_at(text, span.start)),
            key: "toml".into(),
            message: error.message().into(),
        });
    }
    let plan = read_plan(text, document.get_ref(), &mut findings);
    if findings.is_empty() {
        return Ok(plan);
    }
    findings.sort();
    Err(findings)
}

fn read_plan(text: &str, table: &DeTable<'_>, findings: &mut FindingList) -> LoadPlan {
    let default = LoadPlan::default();
    let mut reader = TableReader::new(text, "", table);
    let duration = reader.optional("duration_ms", findings);
    let requests = reader.optional("requests", findings);
    let unbounded = duration.is_none() && requests.is_none();
    let plan = LoadPlan {
        targets: reader.list("targets", findings).into(),
        target_kind: read_target(&mut reader, findings),
        arrival: read_arrival(&mut reader, findings),
        duration: if unbounded {
            default.duration
        } else {
            duration
        },
        requests,
        threads: reader.value("threads", default.threads, findings),
        max_in_flight: reader.value("max_in_flight", default.max_in_flight, findings),
        seed: reader.value("seed", default.seed, findings),
        tag: reader
            .value::<String>("tag", default.tag.into(), findings)
            .into(),
        idle_timeout: reader.value("idle_timeout_ms", default.idle_timeout, findings),
        retry: read_retry(text, &mut reader, findings),
        profiles: read_profiles(text, &mut reader, findings),
        budgets: read_budgets(text, &mut reader, findings),
    };
    reader.finish(findings);
    plan
}

fn read_target(reader: &mut TableReader<'_>, findings: &mut FindingList) -> TargetKind {
    let engine = reader.value("engine", false, findings);
    if engine {
        TargetKind::Engine
    } else {
        TargetKind::Router
    }
}

fn read_arrival(reader: &mut TableReader<'_>, findings: &mut FindingList) -> ArrivalMode {
    let rate = reader.optional("rate", findings);
    let connections = reader.optional("connections", findings);
    match (rate, connections) {
        (None, None) => LoadPlan::default().arrival,
        (Some(rate), None) => ArrivalMode::Open { rate },
        (None, Some(connections)) => ArrivalMode::Closed { connections },
        (Some(_), Some(_)) => {
            let message = "set either a rate (open loop) or connections (closed loop)";
            findings.push(PlanFinding::whole("rate", message));
            LoadPlan::default().arrival
        }
    }
}

fn read_retry(text: &str, reader: &mut TableReader<'_>, findings: &mut FindingList) -> RetryPolicy {
    let default = RetryPolicy::default();
    let Some(value) = reader.raw("retry") else {
        return default;
    };
    let Some(mut retry) = sub_table(text, "retry.", value, findings) else {
        return default;
    };
    let policy = RetryPolicy {
        max_tries: retry.value("max_tries", default.max_tries, findings),
        base_delay: retry.value("base_delay_ms", default.base_delay, findings),
        max_delay: retry.value("max_delay_ms", default.max_delay, findings),
    };
    retry.finish(findings);
    policy
}

fn read_budgets(
    text: &str,
    reader: &mut TableReader<'_>,
    findings: &mut FindingList,
) -> Box<[BudgetExpectation]> {
    let mut budgets = Vec::new();
    for value in reader.tables("budget", findings) {
        let Some(mut table) = sub_table(text, "budget.", value, findings) else {
            continue;
        };
        let budget = table.optional("budget", findings);
        let left = table.optional("left", findings);
        if let (Some(budget), Some(left)) = (budget, left) {
            budgets.push(BudgetExpectation { budget, left });
        } else {
            let line = line_at(text, value.span().start);
            table.report(findings, line, "budget", "needs `budget` and `left`");
        }
        table.finish(findings);
    }
    budgets.into()
}

fn read_profiles(
    text: &str,
    reader: &mut TableReader<'_>,
    findings: &mut FindingList,
) -> Box<[RequestProfile]> {
    let mut profiles = Vec::new();
    for value in reader.tables("profile", findings) {
        if let Some(mut table) = sub_table(text, "profile.", value, findings) {
            profiles.push(read_profile(&mut table, findings));
            table.finish(findings);
        }
    }
    if profiles.is_empty() {
        return LoadPlan::default().profiles;
    }
    profiles.into()
}

fn read_profile(table: &mut TableReader<'_>, findings: &mut FindingList) -> RequestProfile {
    let default = RequestProfile::default();
    RequestProfile {
        name: table
            .value::<String>("name", default.name.into(), findings)
            .into(),
        weight: table.value("weight", default.weight, findings),
        organisation: table.optional("organisation", findings),
        key: table
            .value::<String>("key", default.key.into(), findings)
            .into(),
        call: read_call(table, findings),
        idempotent: table.value("idempotent", default.idempotent, findings),
        request_id: table.value("request_id", default.request_id, findings),
        budget: table.optional("budget", findings),
        deadline: table.optional::<ClockSpan>("deadline_ms", findings),
        priority: table.optional("priority", findings),
    }
}

fn read_call(table: &mut TableReader<'_>, findings: &mut FindingList) -> CallKind {
    let default = ChatCall::default();
    let service = table.optional("service", findings);
    let path = table.value::<String>("path", String::new(), findings);
    let body_bytes = table.value("body_bytes", SizeRange::exactly(64), findings);
    let chat = ChatCall {
        model: table.value("model", default.model, findings),
        prompt_bytes: table.value("prompt_bytes", default.prompt_bytes, findings),
        max_tokens: table.value("max_tokens", default.max_tokens, findings),
        stream: table.value("stream", default.stream, findings),
    };
    match service {
        None => CallKind::Chat(chat),
        Some(service) => CallKind::Service(ServiceCall {
            service,
            path: path.into(),
            body_bytes,
        }),
    }
}

fn sub_table<'a>(
    text: &'a str,
    prefix: &str,
    value: &'a Spanned<DeValue<'a>>,
    findings: &mut FindingList,
) -> Option<TableReader<'a>> {
    if let DeValue::Table(table) = value.get_ref() {
        return Some(TableReader::new(text, prefix, table));
    }
    findings.push(PlanFinding {
        line: Some(line_at(text, value.span().start)),
        key: prefix.trim_end_matches('.').into(),
        message: "expected a table".into(),
    });
    None
}
