// Package engine drives one balancer.Balancer: it owns its clock, its timer, the calls in hand and their attempts, and
// knows no network.
//
// Three kinds of things meet in it, each behind an interface or a type that the engine owns:
//
//   - a front hands it a Call through Do and gets exactly one Result;
//   - a Transport carries out one attempt or one probe at a time, as an Exchange, and says what is known of it;
//   - a Source tells it of the members.
//
// All decisions are the Balancer's. The engine runs them in one goroutine, Run's, which never waits for a socket:
// everything that happens is posted to it as an event, and what the Balancer answers is carried out in order, each
// exchange in a goroutine of its own. A front with no Balancer beside it would have to keep these promises by itself;
// here they are kept once for all fronts:
//
//   - each Call gets one Result, whatever happens to its attempts, its client or the engine;
//   - once a Call has its Result, none of its attempts that has not begun to write ever will;
//   - news of members goes before all else that waits;
//   - a host that stood still (see Stall in stall.go) is not taken for members that fell silent.
//
// A program makes one with New, runs Run in a goroutine, and ends it through Run's context. Engines share nothing.
package engine
