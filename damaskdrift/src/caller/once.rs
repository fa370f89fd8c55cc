//! Runs a call that may not be repeated at most once.

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
use crate::caller::attempts::{Attempts, Placed};
use crate::caller::refusal::Refusal;
use crate::caller::service::{Answer, Call};
use crate::context;
use crate::control::{freshness, slots};
use crate::platform::key_value;
use crate::upstream;

/// Writes of a claim that may fail before the call is refused.
const CLAIM_FAILURES: u32 = 4;
/// Time after which a failed write of a claim is not repeated.
const CLAIM_WAIT: Duration = Duration::from_secs(2);
/// Time after which a caller gets an answer that is not recorded yet.
const RECORD_WAIT: Duration = Duration::from_secs(2);
/// Longest wait of one look at another attempt's record; watches with longer waits would outlive
/// the calls they serve.
const WATCH: Millis = Millis(500);
/// Longest wait for the result of another attempt. Its instance may be dead, and a caller with a
/// short timeout of its own must still be told that the result is unknown.
const RESULT_WAIT: Duration = Duration::from_secs(5);
/// Waits between failed writes.
const RETRY_WAITS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

type Result<T> = std::result::Result<T, Refusal>;

/// One attempt to run a call.
struct Execution {
    cx: sync::Arc<context::Context>,
    call: Call,
    ticket: CallAttempt,
    key: String,
    deadline: Instant,
}

/// What the key-value service answered to a write.
struct WriteResult(std::result::Result<key_value::Swap, key_value::Error>);

/// Runs a call in a task of its own, so that it ends even if the caller goes away.
///
/// # Errors
///
/// Returns a refusal that says whether the call was run.
pub async fn run(call: Call, idempotency_key: &str) -> Result<Answer> {
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
        let ticket = CallAttempt {
            attempt: AttemptId::new(&format!("{:032x}", rand::random::<u128>())),
            instance: cx.settings.instance.id.clone(),
            body_hash: call.body_hash(),
        };
        let key = idempotency::key(&call.caller.workspace, idempotency_key);
        let deadline = Instant::now() + cx.upstreams.timeouts().answer;
        Self { cx, call, ticket, key, deadline }
    }

    async fn run(self, tx: oneshot::Sender<Result<Answer>>) {
        let claimed = match self.claim().await {
            Ok(claimed) => claimed,
            Err(answer) => return reply(tx, answer),
        };
        let (answered, answer) = match self.execute(claimed).await {
            Ok(executed) => executed,
            Err((claimed, mut refusal)) => {
                let (release, outcome) = claimed.release(self.cx.now());
                refusal.outcome = outcome;
                reply(tx, Err(refusal));
                return self.release(release).await;
            }
        };
        let Ok(answer) = answer else {
            reply(tx, answer);
            return self.record(answered).await;
        };
        let recording = self.record(answered);
        tokio::pin!(recording);
        if tokio::time::timeout(RECORD_WAIT, recording.as_mut()).await.is_ok() {
            return reply(tx, Ok(answer));
        }
        reply(tx, Ok(answer.with_unrecorded()));
        recording.await;
    }

    /// Claims the key; the error is the answer when this attempt must not run the call.
    async fn claim(&self) -> std::result::Result<idempotency::Call<Claimed>, Result<Answer>> {
        let mut call = idempotency::Call::new(self.ticket.clone());
        let mut pauses = pauses();
        let mut failures = 0;
        let last = Instant::now() + CLAIM_WAIT;
        loop {
            let asked = self.cx.now();
            let written = self.write(&call.record(), call.expected()).await;
            let mut claim = call.on_written(written.view(), asked);
            if written.is_failure() {
                failures += 1;
                let ClaimStep::Write(again) = claim else {
                    unreachable!("a failed write is repeated");
                };
                if failures == CLAIM_FAILURES || Instant::now() >= last {
                    return Err(Err(self.abandon(again, &written)));
                }
                tokio::time::sleep(pauses.next()).await;
                call = again;
                continue;
            }
            if let ClaimStep::Wait(waiting, revision) = claim {
                claim = self.wait(waiting, revision).await?;
            }
            call = match claim {
                ClaimStep::Claimed(claimed) => return Ok(claimed),
                ClaimStep::Write(again) => again,
                ClaimStep::Wait(..) => unreachable!("the wait has ended"),
                ClaimStep::Duplicate(repeat) => return Err(repeated(repeat)),
            };
        }
    }

    /// Waits until the attempt that holds the claim has settled it.
    async fn wait(
        &self,
        mut call: idempotency::Call<Unclaimed>,
        mut revision: id::Revision,
    ) -> std::result::Result<ClaimStep, Result<Answer>> {
        let mut pauses = pauses();
        let end = self.deadline.min(Instant::now() + RESULT_WAIT);
        while Instant::now() < end {
            let entry = match self.cx.key_value.watch(&self.key, revision, WATCH).await {
                Ok(Some(entry)) => entry,
                Ok(None) => continue,
                Err(error) => {
                    log::debug!("waiting for {}: {error}", self.key);
                    tokio::time::sleep(pauses.next()).await;
                    continue;
                }
            };
            match call.on_read(Some(view(&entry))) {
                ClaimStep::Wait(waiting, newer) => (call, revision) = (waiting, newer),
                claim => return Ok(claim),
            }
        }
        let message = "another attempt holds the key and its result is not known";
        Err(Err(Refusal::unknown(code::Code::OutcomeUnknown, message)))
    }

    /// Gives an attempt up whose claim could not be written.
    fn abandon(&self, call: idempotency::Call<Unclaimed>, written: &WriteResult) -> Refusal {
        if let Some(release) = call.abandon() {
            let (cx, key) = (self.cx.clone(), self.key.clone());
            self.cx.tasks.spawn(async move { write_release(&cx, &key, release).await });
        }
        let cause = written.0.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let message = format!("the call was not claimed, so nothing was sent: {cause}");
        Refusal::new(code::Code::ClaimUnavailable, &message)
    }

    /// Sends the call; the error returns the claim when nothing was sent.
    async fn execute(
        &self,
        mut claimed: idempotency::Call<Claimed>,
    ) -> std::result::Result<
        (idempotency::Call<Resolved>, Result<Answer>),
        (idempotency::Call<Claimed>, Refusal),
    > {
        let targets = match self.call.targets() {
            Ok(targets) => targets,
            Err(refusal) => return Err((claimed, refusal)),
        };
        let workspace = &self.call.caller.workspace;
        let mut attempts = Attempts::new(&self.cx, workspace, targets).with_single_run();
        loop {
            let Placed { target, slot } = match attempts.place().await {
                Ok(placed) => placed,
                Err(refusal) => return Err((claimed, refusal)),
            };
            let refusal = match self.connect(&target, &slot).await {
                Ok(conn) => {
                    let sent = match self.allow(claimed, &target) {
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

    /// Opens a connection of the call's own, so that a failure to connect proves that nothing was
    /// sent.
    async fn connect(
        &self,
        target: &upstream::Target,
        slot: &slots::Slot,
    ) -> std::result::Result<upstream::Connection, upstream::Failure> {
        self.cx.upstreams.open(target, slot.boot.as_ref()).await
    }

    /// Checks again that the call may be sent, since the instance may have been paused.
    fn allow(
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
        (idempotency::Call<Resolved>, Result<Answer>),
        (idempotency::Call<Claimed>, upstream::Failure),
    > {
        let request = self.call.request_id(target);
        match self.call.exchange(&mut conn, &request).await {
            Ok(answer) => {
                self.call.observe(target, answer.status);
                Ok((sent.completed(answer.to_record()), Ok(answer)))
            }
            Err(failure) if !failure.sent => Err((sent.into_unsent(), failure)),
            Err(failure) => {
                self.cx.upstreams.note_failure(target);
                slots::record_connection_loss(&self.cx, &target.id);
                self.call.observe_failure(target);
                log::warn!("[{}] {request}: {failure}", failure.code.number());
                Ok((sent.outcome_unknown(&failure.message), Err(failure.into())))
            }
        }
    }

    /// Writes the result until the service has it.
    async fn record(&self, mut answered: idempotency::Call<Resolved>) {
        let mut pauses = pauses();
        loop {
            let written = self.write(&answered.record(), answered.expected()).await;
            let pause = written.is_failure();
            match answered.on_written(written.view()) {
                RecordStep::Done => return,
                RecordStep::Retry(again) => answered = again,
                RecordStep::Superseded => {
                    let number = code::Code::Internal.number();
                    return log::error!("[{number}] {}: result not recorded", self.key);
                }
            }
            if pause {
                tokio::time::sleep(pauses.next()).await;
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
    fn view(&self) -> WriteOutcome<'_> {
        match &self.0 {
            Ok(key_value::Swap::Written(revision)) => WriteOutcome::Done(*revision),
            Ok(key_value::Swap::Conflict(entry)) => {
                WriteOutcome::Conflict(entry.as_ref().map(view))
            }
            Err(error) if error.is_ambiguous() => WriteOutcome::Lost,
            Err(_) => WriteOutcome::Refused,
        }
    }

    fn is_failure(&self) -> bool {
        self.0.is_err()
    }
}

fn view(entry: &key_value::Entry) -> Stored<'_> {
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

/// Writes a release until the service has it; repeats of the call wait for it.
async fn write_release(cx: &context::Context, key: &str, mut release: Release) {
    let mut pauses = pauses();
    loop {
        let written = write(cx, key, &release.record(), release.expected()).await;
        let pause = written.is_failure();
        match release.on_written(written.view()) {
            ReleaseStep::Done => return,
            ReleaseStep::Retry(again) => release = again,
        }
        if pause {
            tokio::time::sleep(pauses.next()).await;
        }
    }
}

fn repeated(repeat: Duplicate) -> Result<Answer> {
    match repeat {
        Duplicate::Replay(answer) => Answer::from_record(answer),
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

/// The caller may have gone away; the call ends all the same.
fn reply(tx: oneshot::Sender<Result<Answer>>, answer: Result<Answer>) {
    let _ = tx.send(answer);
}

fn pauses() -> backoff::Backoff {
    let (min, max) = RETRY_WAITS;
    backoff::Backoff::new(min, max)
}
