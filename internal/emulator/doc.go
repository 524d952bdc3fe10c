// Package emulator contains the emulated servers that the project's tests, measurements and demonstration run against:
// booking nodes with one core each, a discovery service, faults by script, recorded traffic and clients that replay it.
// They are written from the public descriptions of what they emulate, and use nothing of the program under test.
//
// A Fleet combines them, and its RuleChecker counts what the rules are about: executions by request, what was sent to a
// node after its drain, and what was sent to a node that was warming up. Everything is on loopback, in real time, and
// seeded: random decisions are the same in each run, those of the machine's scheduler are not.
package emulator
