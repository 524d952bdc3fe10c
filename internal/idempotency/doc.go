// Package idempotency decides which requests may be sent without executing an operation twice. It tracks, by
// fingerprint, which requests may already have run, where, and since when. This way neither a client's retry under a
// new request ID nor a restart of the program executes an operation a second time.
//
// The package does no I/O and reads no clock. Package middleware stores its records in a write-ahead log and places it
// between a front, the engine and a transport. The intent of an attempt is the decision to send it; its record is
// stored before the attempt is sent. The order of calls for a request that is not idempotent:
//
//	AdmitRequest    when the request arrives: admits it, bound to the scope of earlier attempts, or fails it
//	BeginAttempt    before each attempt: decides whether it may be sent, and which record has to be durable first
//	RecordWritten   when that record is durable, or could not be written
//	EndAttempt      when the attempt has ended, or was abandoned before it was sent
//	EndRequest      when the request has its final answer
//
// # Guarantees
//
//   - A request that is not idempotent is sent only while no attempt with its fingerprint may have run, in this run of
//     the program or, as far as the log preserves it, in an earlier one. Until Config.Retention has passed since that
//     attempt, further requests with the fingerprint fail.
//   - A request with an idempotency key is sent only to the scope in which earlier attempts with its fingerprint may
//     have run, and only while the idempotency window of the first of them has certainly not passed. After that,
//     further requests with the fingerprint fail until Config.Retention has passed.
//   - A duration that cannot be measured, because the machine was restarted in between, is handled conservatively: an
//     idempotency window counts as passed, and a retention period ends no earlier than the records' timeline says.
package idempotency
