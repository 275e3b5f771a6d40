package load

import (
	"maps"
	"slices"
	"time"
)

// A Demand is what instances see of the requests to one service. Demands add up.
type Demand struct {
	Running  float64 `json:"running"`            // attempts in progress, on average over the last seconds
	Reading  float64 `json:"reading,omitempty"`  // of those, without a first token yet
	Answered int     `json:"answered,omitempty"` // requests that were answered in these seconds
	Late     int     `json:"late,omitempty"`     // of those, begun after their latency objective
	Refused  int     `json:"refused,omitempty"`  // requests that found no room
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

// AddDemand adds the demand of one instance, by service.
func (s *Sum) AddDemand(demand map[string]Demand) {
	if len(demand) == 0 {
		return
	}
	total := map[string]Demand{}
	maps.Copy(total, s.Demand)
	for service, d := range demand {
		total[service] = total[service].Plus(d)
	}
	s.Demand = total
}

// A DomainDemand is the demand that the instances of a failure domain see.
type DomainDemand struct {
	Domain   string            `json:"domain"`
	Services map[string]Demand `json:"services"`
	Age      time.Duration     `json:"age"`
}

// Domains holds the newest demand of each failure domain. The zero Domains is empty.
type Domains struct {
	byName map[string]domainDemand
}

type domainDemand struct {
	services map[string]Demand
	at       time.Time
}

// Put stores the demand of a failure domain unless a newer one is known.
func (d *Domains) Put(now time.Time, demand DomainDemand) {
	at := now.Add(-demand.Age)
	if d.byName == nil {
		d.byName = map[string]domainDemand{}
	}
	if known, ok := d.byName[demand.Domain]; !ok || at.After(known.at) {
		d.byName[demand.Domain] = domainDemand{services: demand.Services, at: at}
	}
}

// demandRetention is how long the demand of a failure domain is kept without a newer one.
const demandRetention = time.Minute

// All returns what is known, sorted by failure domain.
func (d *Domains) All(now time.Time) []DomainDemand {
	var all []DomainDemand
	for _, name := range slices.Sorted(maps.Keys(d.byName)) {
		known := d.byName[name]
		age := now.Sub(known.at)
		if age > demandRetention {
			delete(d.byName, name)
			continue
		}
		all = append(all, DomainDemand{Domain: name, Services: known.services, Age: age})
	}
	return all
}
