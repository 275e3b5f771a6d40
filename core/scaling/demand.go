package scaling

import "time"

// A Demand is what instances see of the requests to one service. Demands add up.
type Demand struct {
	Running  int `json:"running"`            // attempts in progress
	Reading  int `json:"reading,omitempty"`  // of those, without a first token yet
	Answered int `json:"answered,omitempty"` // requests that were answered in the last seconds
	Late     int `json:"late,omitempty"`     // of those, begun after their latency objective
	Refused  int `json:"refused,omitempty"`  // requests that found no room in the same time
}

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		Running:  d.Running + o.Running,
		Reading:  d.Reading + o.Reading,
		Answered: d.Answered + o.Answered,
		Late:     d.Late + o.Late,
		Refused:  d.Refused + o.Refused,
	}
}

// missed returns the share of requests that were late or found no room.
func (d Demand) missed() float64 {
	return float64(d.Late+d.Refused) / float64(max(d.Answered+d.Refused, minAnswers))
}

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
	Demand  Demand        // as the instances of the domain see it
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
