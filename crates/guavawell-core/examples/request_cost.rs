//! Processor time of what a request's head, body and frames are checked for.
//!
//! `cargo run --release -p guavawell-core --example request_cost`

use std::hint::black_box;
use std::time::Instant;

use guavawell_core::id::AttemptId;
use guavawell_core::request::FrameCheck;
use guavawell_core::request::chat::ChatLimits;
use guavawell_core::request::chat::ChatRequest;
use guavawell_core::request::head::HeadFields;
use guavawell_core::request::head::ParsedHead;

const ROUNDS: u32 = 20_000;
const PROMPT_BYTES: [usize; 3] = [200, 4_000, 64_000];
const TOKENS: [usize; 3] = [16, 128, 1_024];

fn main() {
    println!("what                       each       MB/s");
    head();
    for bytes in PROMPT_BYTES {
        chat(bytes);
    }
    for tokens in TOKENS {
        stream(tokens);
    }
}

fn report(name: &str, rounds: u32, bytes: usize, work: impl Fn()) {
    let start = Instant::now();
    for _ in 0..rounds {
        work();
    }
    let each = start.elapsed().as_secs_f64() / f64::from(rounds);
    let rate = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / each / 1e6;
    println!("{name:<22} {:>7.2} us {rate:>10.0}", each * 1e6);
}

fn head() {
    let organisation = "saaremaa".parse().expect("an id");
    let fields = HeadFields {
        idempotency_key: Some("3f1c7f0e-5a51-4c3e-9c0d-0d1f5b1f8a11"),
        idempotent: Some("false"),
        budget: Some("saaremaa-2026"),
        deadline: Some("2000"),
        priority: Some("7"),
        generation: Some("12"),
    };
    report("head", ROUNDS, 0, || {
        let _ = black_box(ParsedHead::parse(Clone::clone(&organisation), fields, 1));
    });
}

fn chat(bytes: usize) {
    let content = "a line of a transfer batch\\n".repeat(bytes / 26);
    let body = format!(
        r#"{{"model":"registry-7b","temperature":0.2,"messages":[{{"role":"user","content":"{content}"}}],"max_tokens":256,"stream":true}}"#
    );
    let limits = ChatLimits::default();
    let rounds = if bytes > 10_000 { ROUNDS / 10 } else { ROUNDS };
    report(&format!("chat body {bytes} B"), rounds, body.len(), || {
        let _ = black_box(ChatRequest::parse(body.as_bytes(), &limits));
    });
}

fn stream(tokens: usize) {
    let attempt = AttemptId::new(42);
    let chunk = r#"{"id":"chatcmpl-1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"w0 "},"finish_reason":null}]}"#;
    let usage =
        r#"{"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":7,"total_tokens":19}}"#;
    let mut frames: Vec<(String, &str)> = (0..tokens)
        .map(|sequence| (format!("{attempt}:{sequence}"), chunk))
        .collect();
    frames.push((format!("{attempt}:{tokens}"), usage));
    frames.push((format!("{attempt}:{}", tokens + 1), "[DONE]"));
    let bytes: usize = frames.iter().map(|(id, data)| id.len() + data.len()).sum();
    report(
        &format!("stream {tokens} tokens"),
        ROUNDS / 10,
        bytes,
        || {
            let mut check = FrameCheck::new(attempt);
            for (id, data) in &frames {
                let _ = black_box(check.accept(id, data));
            }
            assert!(check.is_complete());
        },
    );
}
