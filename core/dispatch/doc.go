// Package dispatch decides at an entry which task starts next and on which
// endpoint. It keeps the entry's queue, its view of the endpoints (slots
// granted by agents, speed, health) and the estimates of run times.
//
// The package is pure: every method takes the time, none blocks, and the
// caller serialises all methods. All times are durations in nanoseconds unless
// a name says otherwise; work is measured in seconds at the fleet's mean speed.
package dispatch
