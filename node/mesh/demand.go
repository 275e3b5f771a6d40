package mesh

import (
	"context"
	"encoding/json"
	"time"

	"banyanyard/core/gossip"
	"banyanyard/core/load"
	"banyanyard/core/member"
)

const (
	// demandKey is the key of reports of a failure domain's demand.
	demandKey = "demand"
	// demandInterval is the time between two such reports to each other failure domain.
	demandInterval = time.Second
)

// totalLoad returns the load of this instance and its children in the tree of a root, with
// what they know of the pace of upstreams if that is asked for.
func (s *state) totalLoad(now time.Time, root string, pace bool) load.Sum {
	total := s.loads.Total(now, root, s.mesh.events.OwnLoad(pace))
	total.AddDemand(s.mesh.events.Demand())
	return total
}

// recordDemand stores the demand of this failure domain and returns that of all. The
// instance that leads the domain tells those that lead the others.
func (s *state) recordDemand(now time.Time, services map[string]load.Demand) []load.DomainDemand {
	if len(services) == 0 {
		return nil
	}
	own := load.DomainDemand{Domain: s.mesh.self.FailureDomain, Services: services}
	s.demands.Put(now, own)
	all := s.demands.All(now)
	s.mesh.events.HandleDemand(all)
	if s.mesh.leads.Load() && now.Sub(s.demandShared) >= demandInterval {
		s.demandShared = now
		s.shareDemand(own)
	}
	return all
}

// shareDemand tells the instances that lead the other failure domains.
func (s *state) shareDemand(own load.DomainDemand) {
	data, err := json.Marshal(own)
	if err != nil {
		s.mesh.log.Line("news-not-sent").Str("key", demandKey).Err(err).End()
		return
	}
	for _, address := range s.otherLeaders() {
		go func() {
			// The next report makes up for one that fails.
			_, _ = s.mesh.Report(s.ctx, address, gossip.Entry{Key: demandKey, Data: data})
		}()
	}
}

// otherLeaders returns the addresses of the instances with the highest rank of the other
// failure domains, which lead these.
func (s *state) otherLeaders() map[string]string {
	leaders := map[string]member.Status{}
	for _, m := range s.detector.Members() {
		if m.State != member.Live || m.FailureDomain == s.mesh.self.FailureDomain {
			continue
		}
		if leader, ok := leaders[m.FailureDomain]; !ok || rank(m.Instance) > rank(leader.Instance) {
			leaders[m.FailureDomain] = m
		}
	}
	addresses := map[string]string{}
	for domain, leader := range leaders {
		addresses[domain] = leader.Address
	}
	return addresses
}

// learnDemand stores what another failure domain reports.
func (h handler) learnDemand(ctx context.Context, e gossip.Entry) error {
	var demand load.DomainDemand
	if err := json.Unmarshal(e.Data, &demand); err != nil {
		return err
	}
	_, err := runInLoop(ctx, h.Mesh, func(s *state) struct{} {
		s.demands.Put(time.Now(), demand)
		return struct{}{}
	})
	return err
}
