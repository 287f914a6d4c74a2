// Package dispatch decides, at an entry, which task starts next and on which
// endpoint. It keeps the entry's queue, the state of each endpoint (slots
// granted by its agent, speed, health) and the estimates of run times.
//
// The package does no I/O: every method takes the current time, none blocks,
// and the caller serialises all methods. Durations are in nanoseconds unless a
// name or comment gives another unit. Work is the run time in seconds on an
// endpoint of the fleet's mean speed.
package dispatch
