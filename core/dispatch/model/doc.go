// Package model is a discrete-event simulation of entries, agents and endpoints
// in virtual time. It runs the code of core/dispatch and core/slots on synthetic
// workloads, so that strategies are compared under the same load.
//
// It models one-way latency, run times, slots, refusals and three faults. It
// does not model processors, connections, the replicated log or lost messages.
package model
