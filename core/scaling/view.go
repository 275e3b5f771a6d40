package scaling

import (
	"time"

	"banyanyard/core/load"
)

// Bounds limit the upstreams of a service in each failure domain.
type Bounds struct {
	Min, Max  int           // Max is at least Min
	StartTime time.Duration // from an order until the upstream serves
	ColdTime  time.Duration // from then until it takes full load
}

// lead is the time from an order until the upstream takes full load.
func (b *Bounds) lead() time.Duration { return b.StartTime + b.ColdTime }

// A Domain is the state of a service in one failure domain.
type Domain struct {
	Name    string
	Out     bool          // operators have taken it out
	Serving int           // upstreams that take requests, with those that are cold
	Cold    int           // of those, the ones that are cold
	Leaving int           // upstreams that leave and still run attempts
	Demand  load.Demand   // as the instances of the domain see it
	Age     time.Duration // of Demand
}

// A View is the state of a service at one moment.
type View struct {
	Service    string
	Bounds     Bounds
	Slots      float64 // of an upstream, on average
	RollingOut bool    // upstreams of a further version run alongside
	Domains    []Domain
}

// An Order asks for a number of upstreams of a service in a failure domain.
type Order struct {
	Service, Domain string
	Upstreams       int
}
