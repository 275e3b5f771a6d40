// Package duty decides which instance of a deployment makes the calls to the platform that
// only one may make at a time, and when it must not.
//
// The load that it answers is small; the failure is an instance that is frozen, cut off or
// slow while it holds the duty, or whose calls to the store are answered late or never. The
// platform does not check the fencing token, so that two holders must never act at once.
//
// Times are read on a steady clock that goes on while the process or the machine is paused.
// Nothing here opens sockets or reads clocks, and nothing blocks.
package duty

import "time"

// A Call is one call to the platform that only the holder of a duty may make.
type Call struct {
	Duty    string        // name of the duty
	Subject string        // what it is about; calls about one subject go out one after another
	Body    any           // what to send
	Timeout time.Duration // bound on the call; at most Terms.Call, which 0 means
}

// A Task is the logic of a duty. Its methods never block. They are called by one goroutine.
type Task interface {
	// Next returns the calls that are due while this instance holds the tenure. It is called
	// about four times a second. Calls about a subject that has one in progress, or has to
	// wait after a failure, are left out; Next returns them again.
	Next(now time.Time) []Call
	// Done takes the result of a call. A nil error means that the platform accepted it.
	Done(now time.Time, c Call, err error)
}
