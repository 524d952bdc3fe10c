// Package plan splits GraphQL operations into requests to endpoints and merges the endpoints' responses. It decides
// which root fields are sent together, in which order, and with which request class and idempotency key. When all
// requests have ended, it builds the response to the client. The package does no I/O.
//
//	Schema ── ParseDocument(text) ─> Document ── Plan(name, variables, key) ─> Plan ── Parts ─> requests
//	 (SDL, mapping, limits)                                                     └── Merge(outcomes) ─> response
//
// A part is a separate GraphQL document of the same operation type. It has some of the root fields, and the fragments
// and variables that these fields use. Fields of a query that map to the same class share a part, and all parts of a
// query may be sent concurrently. Each root field of a mutation is a part, and these are sent one after the other, as
// section 6.2.2 of the GraphQL specification requires. A part is sent only if the previous part has a response whose
// data is not null. Such a response shows that the previous part was executed.
//
// # Guarantees of the error codes
//
// Each error that the balancer itself creates has extensions.code. REFUSED and NOT_STARTED guarantee that the field did
// not run and will not run. MAY_HAVE_RUN guarantees nothing, and a retry may repeat the effect. UNAVAILABLE is the code
// of a query field without a response; a query has no effect that a retry could repeat. EXECUTED means that a mutation
// ran, but that its result is lost because the data is null. REJECTED means that an endpoint rejected the field and
// executed nothing. All other codes apply to the whole request, and guarantee that no part of the request was sent. In
// a batch, each operation is a request of its own.
//
// # Limits
//
// Limits are checked before any step whose cost grows faster than the length of the document: bytes and tokens before
// parsing; depth, aliases and expanded fields before validation; root fields and cost before planning ends. Sizes
// include expanded fragments, but each fragment is measured only once. A chain of fragments that each spread the next
// one twice has an exponential size, but measuring it takes linear time.
//
// A Schema and a Document are safe for concurrent use. A Plan belongs to a single request.
package plan
