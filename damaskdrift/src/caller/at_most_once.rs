//! Runs non-idempotent calls at most once.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::idempotency::{
    self, AttemptId, CallAttempt, ClaimStep, Claimed, Duplicate, Record, RecordStep, Release,
    ReleaseStep, Resolved, Sent, Stored, Unclaimed, WriteOutcome,
};
use damaskdrift_core::time::Millis;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::backoff;
use crate::caller::attempts::{Attempts, Reserved};
use crate::caller::refusal::Refusal;
use crate::caller::service::{Call, Response};
use crate::context;
use crate::control::{freshness, slots};
use crate::platform::key_value;
use crate::upstream;

/// Failed writes of a claim after which the call is refused.
const MAX_CLAIM_FAILURES: u32 = 4;
/// Time after which a failed write of a claim is no longer retried.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for a response to be recorded before it is sent to the caller unrecorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait of one watch on another attempt's record; watches with longer waits would outlive
/// the calls that started them.
const WATCH_TIMEOUT: Millis = Millis(500);
/// Longest wait for the result of another attempt. Its instance may have crashed, and a caller with
/// a short timeout must still receive the response that the result is unknown.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest and longest delay before a failed write is retried.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

type Result<T> = std::result::Result<T, Refusal>;

/// One attempt to run a call under its idempotency key.
struct Execution {
    cx: sync::Arc<context::Context>,
    call: Call,
    attempt: CallAttempt,
    /// Key of the call's record in the key-value service.
    key: String,
    deadline: Instant,
}

/// The key-value service's response to a write.
struct WriteResult(std::result::Result<key_value::Swap, key_value::Error>);

/// Runs a call in its own task, so that it completes even if the caller disconnects.
///
/// # Errors
///
/// Returns a refusal whose outcome states whether the call was run.
pub async fn run(call: Call, idempotency_key: &str) -> Result<Response> {
    let cx = call.cx.clone();
    let execution = Execution::new(call, idempotency_key);
    let (tx, rx) = oneshot::channel();
    cx.tasks.spawn(execution.run(tx));
    rx.await.unwrap_or_else(|_| {
        Err(Refusal::unknown(code::Code::Internal, "the task that ran the call ended early"))
    })
}

impl Execution {
    fn new(call: Call, idempotency_key: &str) -> Self {
        let cx = call.cx.clone();
        let attempt = CallAttempt {
            attempt: AttemptId::new(&format!("{:032x}", rand::random::<u128>())),
            instance: cx.settings.instance.id.clone(),
            body_hash: call.body_hash(),
        };
        let key = idempotency::key(&call.caller.workspace, idempotency_key);
        let deadline = Instant::now() + cx.upstreams.timeouts().response;
        Self { cx, call, attempt, key, deadline }
    }

    async fn run(self, tx: oneshot::Sender<Result<Response>>) {
        let claimed = match self.claim().await {
            Ok(claimed) => claimed,
            Err(result) => return reply(tx, result),
        };
        let (resolved, result) = match self.execute(claimed).await {
            Ok(executed) => executed,
            Err((claimed, mut refusal)) => {
                let (release, outcome) = claimed.release(self.cx.now());
                refusal.outcome = outcome;
                reply(tx, Err(refusal));
                return self.release(release).await;
            }
        };
        let Ok(response) = result else {
            reply(tx, result);
            return self.record(resolved).await;
        };
        let recording = self.record(resolved);
        tokio::pin!(recording);
        if tokio::time::timeout(RECORD_TIMEOUT, recording.as_mut()).await.is_ok() {
            return reply(tx, Ok(response));
        }
        reply(tx, Ok(response.marked_unrecorded()));
        recording.await;
    }

    /// Claims the key; the error is the result to send when this attempt must not run the call.
    async fn claim(&self) -> std::result::Result<idempotency::Call<Claimed>, Result<Response>> {
        let mut call = idempotency::Call::new(self.attempt.clone());
        let mut backoff = retry_backoff();
        let mut failures = 0;
        let retry_until = Instant::now() + CLAIM_TIMEOUT;
        loop {
            let requested_at = self.cx.now();
            let written = self.write(&call.record(), call.expected()).await;
            let mut claim = call.on_written(written.outcome(), requested_at);
            if written.is_failure() {
                failures += 1;
                let ClaimStep::Write(retry) = claim else {
                    unreachable!("a failed write is retried");
                };
                if failures == MAX_CLAIM_FAILURES || Instant::now() >= retry_until {
                    return Err(Err(self.abandon(retry, &written)));
                }
                tokio::time::sleep(backoff.next()).await;
                call = retry;
                continue;
            }
            if let ClaimStep::Wait(waiting, revision) = claim {
                claim = self.wait(waiting, revision).await?;
            }
            call = match claim {
                ClaimStep::Claimed(claimed) => return Ok(claimed),
                ClaimStep::Write(retry) => retry,
                ClaimStep::Wait(..) => unreachable!("the wait has ended"),
                ClaimStep::Duplicate(duplicate) => return Err(duplicate_result(duplicate)),
            };
        }
    }

    /// Waits until the attempt that holds the claim has recorded a result or released it.
    async fn wait(
        &self,
        mut call: idempotency::Call<Unclaimed>,
        mut revision: id::Revision,
    ) -> std::result::Result<ClaimStep, Result<Response>> {
        let mut backoff = retry_backoff();
        let wait_until = self.deadline.min(Instant::now() + RESULT_TIMEOUT);
        while Instant::now() < wait_until {
            let entry = match self.cx.key_value.watch(&self.key, revision, WATCH_TIMEOUT).await {
                Ok(Some(entry)) => entry,
                Ok(None) => continue,
                Err(error) => {
                    log::debug!("cannot watch record {}: {error}", self.key);
                    tokio::time::sleep(backoff.next()).await;
                    continue;
                }
            };
            match call.on_read(Some(stored(&entry))) {
                ClaimStep::Wait(waiting, newer) => (call, revision) = (waiting, newer),
                claim => return Ok(claim),
            }
        }
        let message = "another attempt holds the key and its result is not known";
        Err(Err(Refusal::unknown(code::Code::OutcomeUnknown, message)))
    }

    /// Abandons an attempt whose claim could not be written, and releases the key if the write may
    /// have taken effect.
    fn abandon(&self, call: idempotency::Call<Unclaimed>, written: &WriteResult) -> Refusal {
        if let Some(release) = call.abandon() {
            let (cx, key) = (self.cx.clone(), self.key.clone());
            self.cx.tasks.spawn(async move { write_release(&cx, &key, release).await });
        }
        let cause = written.0.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let message = format!("the call was not claimed, so nothing was sent: {cause}");
        Refusal::new(code::Code::ClaimUnavailable, &message)
    }

    /// Sends the call; the error returns the claim if nothing was sent.
    async fn execute(
        &self,
        mut claimed: idempotency::Call<Claimed>,
    ) -> std::result::Result<
        (idempotency::Call<Resolved>, Result<Response>),
        (idempotency::Call<Claimed>, Refusal),
    > {
        let targets = match self.call.targets() {
            Ok(targets) => targets,
            Err(refusal) => return Err((claimed, refusal)),
        };
        let workspace = &self.call.caller.workspace;
        let mut attempts = Attempts::new(&self.cx, workspace, targets).without_retry_after_send();
        loop {
            let Reserved { target, slot } = match attempts.reserve().await {
                Ok(reserved) => reserved,
                Err(refusal) => return Err((claimed, refusal)),
            };
            let refusal = match self.connect(&target, &slot).await {
                Ok(conn) => {
                    let sent = match self.check_before_send(claimed, &target) {
                        Ok(sent) => sent,
                        Err(refused) => return Err(refused),
                    };
                    match self.send(sent, conn, &target).await {
                        Ok(executed) => return Ok(executed),
                        Err((unsent, failure)) => {
                            claimed = unsent;
                            failure
                        }
                    }
                }
                Err(failure) => failure,
            };
            slots::record_connection_loss(&self.cx, &target.id);
            drop(slot);
            if !attempts.may_retry(code::Outcome::NotRun).await {
                return Err((claimed, refusal.into()));
            }
        }
    }

    /// Opens a new connection for this call alone, so that a failure to connect proves that nothing
    /// was sent.
    async fn connect(
        &self,
        target: &upstream::Target,
        slot: &slots::Slot,
    ) -> std::result::Result<upstream::Connection, upstream::Failure> {
        self.cx.upstreams.open(target, slot.boot.as_ref()).await
    }

    /// Checks again that the call may be sent, since the process may have been paused.
    fn check_before_send(
        &self,
        claimed: idempotency::Call<Claimed>,
        target: &upstream::Target,
    ) -> std::result::Result<idempotency::Call<Sent>, (idempotency::Call<Claimed>, Refusal)> {
        if let Err(code) = freshness::check_upstream(&self.cx, &target.id) {
            return Err((claimed, code.into()));
        }
        if Instant::now() >= self.deadline {
            return Err((claimed, code::Code::DeadlineUnreachable.into()));
        }
        claimed
            .send(self.cx.now())
            .map_err(|claimed| (claimed, Refusal::from(code::Code::DeadlineUnreachable)))
    }

    async fn send(
        &self,
        sent: idempotency::Call<Sent>,
        mut conn: upstream::Connection,
        target: &upstream::Target,
    ) -> std::result::Result<
        (idempotency::Call<Resolved>, Result<Response>),
        (idempotency::Call<Claimed>, upstream::Failure),
    > {
        let request = self.call.request_id(target);
        match self.call.exchange(&mut conn, &request).await {
            Ok(response) => {
                self.call.record_response(target, response.status);
                Ok((sent.completed(response.to_record()), Ok(response)))
            }
            Err(failure) if !failure.sent => Err((sent.into_unsent(), failure)),
            Err(failure) => {
                self.cx.upstreams.record_failure(target);
                slots::record_connection_loss(&self.cx, &target.id);
                self.call.record_failure(target);
                log::warn!("[{}] request {request} failed: {failure}", failure.code.number());
                Ok((sent.outcome_unknown(&failure.message), Err(failure.into())))
            }
        }
    }

    /// Writes the result, retrying until the key-value service has stored it.
    async fn record(&self, mut resolved: idempotency::Call<Resolved>) {
        let mut backoff = retry_backoff();
        loop {
            let written = self.write(&resolved.record(), resolved.expected()).await;
            let is_failure = written.is_failure();
            match resolved.on_written(written.outcome()) {
                RecordStep::Done => return,
                RecordStep::Retry(retry) => resolved = retry,
                RecordStep::Superseded => {
                    let number = code::Code::Internal.number();
                    return log::error!(
                        "[{number}] result of call {} not recorded: record superseded",
                        self.key
                    );
                }
            }
            if is_failure {
                tokio::time::sleep(backoff.next()).await;
            }
        }
    }

    async fn release(&self, release: Release) {
        write_release(&self.cx, &self.key, release).await;
    }

    async fn write(&self, record: &Record, expected: id::Revision) -> WriteResult {
        write(&self.cx, &self.key, record, expected).await
    }
}

impl WriteResult {
    fn outcome(&self) -> WriteOutcome<'_> {
        match &self.0 {
            Ok(key_value::Swap::Written(revision)) => WriteOutcome::Done(*revision),
            Ok(key_value::Swap::Conflict(entry)) => {
                WriteOutcome::Conflict(entry.as_ref().map(stored))
            }
            Err(error) if error.is_ambiguous() => WriteOutcome::Lost,
            Err(_) => WriteOutcome::Refused,
        }
    }

    fn is_failure(&self) -> bool {
        self.0.is_err()
    }
}

fn stored(entry: &key_value::Entry) -> Stored<'_> {
    Stored { revision: entry.revision, value: &entry.value }
}

async fn write(
    cx: &context::Context,
    key: &str,
    record: &Record,
    expected: id::Revision,
) -> WriteResult {
    let value = Bytes::from(record.encode());
    WriteResult(cx.key_value.put(key, value, expected, Some(idempotency::RETENTION)).await)
}

/// Writes a release, retrying until the key-value service has stored it, since duplicates of the
/// call wait for it.
async fn write_release(cx: &context::Context, key: &str, mut release: Release) {
    let mut backoff = retry_backoff();
    loop {
        let written = write(cx, key, &release.record(), release.expected()).await;
        let is_failure = written.is_failure();
        match release.on_written(written.outcome()) {
            ReleaseStep::Done => return,
            ReleaseStep::Retry(retry) => release = retry,
        }
        if is_failure {
            tokio::time::sleep(backoff.next()).await;
        }
    }
}

fn duplicate_result(duplicate: Duplicate) -> Result<Response> {
    match duplicate {
        Duplicate::Replay(record) => Response::from_record(record),
        Duplicate::BodyNotRecorded { status } => {
            let message =
                format!("the call was answered with status {status}; its body is not kept");
            let refusal = Refusal::new(code::Code::ResponseNotStored, &message);
            Err(refusal.with_outcome(code::Outcome::Ran))
        }
        Duplicate::Unknown { reason } => {
            let message = format!("an earlier attempt may have run the call: {reason}");
            Err(Refusal::unknown(code::Code::OutcomeUnknown, &message))
        }
        Duplicate::KeyReused => {
            let message = "the idempotency key was used for another call; nothing was sent";
            Err(Refusal::new(code::Code::KeyReused, message))
        }
    }
}

fn reply(tx: oneshot::Sender<Result<Response>>, result: Result<Response>) {
    // The receiver is gone if the caller has disconnected; the call completes regardless.
    let _ = tx.send(result);
}

fn retry_backoff() -> backoff::Backoff {
    let (min, max) = RETRY_DELAYS;
    backoff::Backoff::new(min, max)
}
