// Package plan decides what becomes of a GraphQL operation, without I/O: which of its root fields travel together, in which
// order, as requests of which class and key; and what the client is answered when each has ended.
//
//	Schema ── Document(text) ─> Document ── Plan(operation, variables, key) ─> Plan ── Parts ─> requests to nodes
//	 (SDL, mapping, limits)                                                     └──── Merge(outcomes) ─> the response
//
// A part is a GraphQL document of its own, of the same operation type, with some of the root fields, the fragments that
// they use and the variables that they use. Fields of a query that map to the same class travel together, and all parts of
// a query may go at the same time. Each root field of a mutation is a part, and they go one after the other, as the
// GraphQL specification says (section 6.2.2): the next one begins when the one before it has ended and is known to have
// run or to have been turned down by the node's own word.
//
// # What a client may take from the codes
//
// Each error that comes from here, and not from a node, has extensions.code. REFUSED and NOT_STARTED promise that the
// field did not run and will not; MAY_HAVE_RUN promises nothing, and repeating it may do its effect twice; UNAVAILABLE is
// of a query, which has no effect; EXECUTED is of a mutation whose result is lost with the data. All others are of the whole request, of which nothing was sent.
//
// # Bounds
//
// Limits are checked before anything is done with a document whose cost grows faster than its length: its bytes and
// tokens before it is parsed, its depth, aliases, root fields and expanded fields before it is validated. They count
// through fragments, each of which is looked at once, so that fragments that double cost nothing.
//
// A Schema may be used from any goroutine, a Document too. A Plan is its request's own.
package plan
