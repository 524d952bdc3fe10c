// Package emulator contains the emulated servers that the project's tests, measurements and demonstration run against:
// booking nodes with one core each and a discovery service. It also reads fault scripts and injects their faults, and
// generates, reads and replays traffic. The servers are written from the public descriptions of the systems that they
// emulate, and share no code with the program under test.
//
// A Fleet combines the nodes and the discovery service. Its RuleChecker counts the executions of each request and
// records violations of the rules: repeated executions, jobs sent to a node after its drain grace, and nodes that were
// overloaded while they were warming up. All servers listen on loopback and run in real time. Random decisions are
// seeded and therefore the same in each run; the decisions of the machine's scheduler are not.
package emulator
