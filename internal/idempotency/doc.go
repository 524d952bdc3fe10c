// Package idempotency decides which requests may be sent without executing an operation twice. It tracks, by
// fingerprint, which requests may already have run, where, and since when. This way neither a client's retry under a
// new request ID nor a restart of the program executes an operation a second time.
//
// The package does no I/O and reads no clock. Package middleware calls this package for each request and attempt, and
// stores the records in a write-ahead log. The decision to send an attempt is called the intent of the attempt. The
// intent is stored, in the record of the fingerprint, before the attempt is sent. The order of calls for a request of a
// Keyed or NonIdempotent class:
//
//	AdmitRequest    when the request arrives: admits the request to the scope of earlier attempts, or fails it
//	BeginAttempt    before each attempt: decides whether it may be sent, and returns the record to store before that
//	RecordWritten   when the returned record is durable, or could not be written
//	EndAttempt      when the attempt has ended, or was abandoned before it was sent
//	EndRequest      when the request has its final answer
//
// # Guarantees
//
//   - A request of a NonIdempotent class is sent only while no attempt with its fingerprint may have run, in this run
//     of the program or, as far as the log preserves it, in an earlier one. Once an attempt may have run, further
//     requests with the fingerprint fail at least until Config.Retention has passed since the first attempt.
//   - A request of a Keyed class is sent only to the scope in which earlier attempts with its fingerprint may have run,
//     and only while the idempotency window of the first of them has certainly not passed. After that, further requests
//     with the fingerprint fail at least until Config.Retention has passed since the first attempt.
//   - If the machine was restarted since an attempt, the time since the attempt is unknown, and its idempotency window
//     counts as passed. Its retention ends by the timeline of the records, which never goes back (see Time).
package idempotency
