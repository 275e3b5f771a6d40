package rules

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// A Set holds the rules of one accepted file and indexes over them.
type Set struct {
	Text              string // the text of the file
	Rules             []Rule // in line order
	Organisations     map[string]*Organisation
	Models            map[string]*Model
	Versions          map[Target]*Version
	Classes           map[string]*Class
	Rollouts          map[string]*Rollout // by model
	FailureDomains    map[string]*FailureDomain
	Upstreams         map[string]*Upstream
	Services          map[string]*Service
	versionsOf        map[string][]*Version // by model, in line order
	allows            []*Allow
	serviceCalls      map[string][]*ServiceCall // by service, longest path first
	byIdentity        map[string]Rule
	allowedTargets    map[string]map[Target]bool // by organisation
	allowedClasses    map[string]map[string]bool // by organisation
	allowedServices   map[string]map[string]bool // by organisation
	keyOwnersByPrefix map[[hashPrefixBytes]byte][]keyOwner
	upstreamsByID     []*Upstream // by identifier
}

// hashPrefixBytes is the length of the hash prefix that keyOwnersByPrefix is indexed
// by. The whole hash of each candidate is then compared in constant time.
const hashPrefixBytes = 4

type keyOwner struct {
	hash  [sha256.Size]byte
	owner *Organisation
}

func newSet(text string) *Set {
	return &Set{
		Text:              text,
		Organisations:     map[string]*Organisation{},
		Models:            map[string]*Model{},
		Versions:          map[Target]*Version{},
		Classes:           map[string]*Class{},
		Rollouts:          map[string]*Rollout{},
		FailureDomains:    map[string]*FailureDomain{},
		Upstreams:         map[string]*Upstream{},
		Services:          map[string]*Service{},
		versionsOf:        map[string][]*Version{},
		serviceCalls:      map[string][]*ServiceCall{},
		byIdentity:        map[string]Rule{},
		allowedTargets:    map[string]map[Target]bool{},
		allowedClasses:    map[string]map[string]bool{},
		allowedServices:   map[string]map[string]bool{},
		keyOwnersByPrefix: map[[hashPrefixBytes]byte][]keyOwner{},
	}
}

func (s *Set) add(rule Rule) {
	s.Rules = append(s.Rules, rule)
	s.byIdentity[rule.Identity()] = rule
	switch r := rule.(type) {
	case *Organisation:
		s.Organisations[r.ID] = r
	case *Model:
		s.Models[r.ID] = r
	case *Version:
		s.Versions[r.Target()] = r
		s.versionsOf[r.Model] = append(s.versionsOf[r.Model], r)
	case *Allow:
		s.allows = append(s.allows, r)
	case *Class:
		s.Classes[r.ID] = r
	case *Rollout:
		s.Rollouts[r.Model] = r
	case *FailureDomain:
		s.FailureDomains[r.ID] = r
	case *Upstream:
		s.Upstreams[r.ID] = r
	case *Service:
		s.Services[r.ID] = r
	case *ServiceCall:
		s.serviceCalls[r.Service] = append(s.serviceCalls[r.Service], r)
	}
}

// buildIndexes builds the indexes that requests use. The rules must have been
// checked.
func (s *Set) buildIndexes() {
	for _, o := range s.Organisations {
		s.allowedTargets[o.ID] = map[Target]bool{}
		s.allowedClasses[o.ID] = map[string]bool{}
		s.allowedServices[o.ID] = map[string]bool{}
		for _, key := range o.Keys {
			s.indexKey(key, o)
		}
	}
	for _, a := range s.allows {
		s.indexAllow(a)
	}
	for _, calls := range s.serviceCalls {
		slices.SortStableFunc(calls, func(a, b *ServiceCall) int { return len(b.Path) - len(a.Path) })
	}
	for _, id := range slices.Sorted(maps.Keys(s.Upstreams)) {
		s.upstreamsByID = append(s.upstreamsByID, s.Upstreams[id])
	}
}

func (s *Set) indexKey(key string, owner *Organisation) {
	var hash [sha256.Size]byte
	// The checker has verified the format of the key.
	_, _ = hex.Decode(hash[:], []byte(strings.TrimPrefix(key, keyHashScheme)))
	prefix := [hashPrefixBytes]byte(hash[:])
	s.keyOwnersByPrefix[prefix] = append(s.keyOwnersByPrefix[prefix], keyOwner{hash: hash, owner: owner})
}

func (s *Set) indexAllow(a *Allow) {
	if a.Class != "" {
		s.allowedClasses[a.Organisation][a.Class] = true
		return
	}
	if a.Service != "" {
		s.allowedServices[a.Organisation][a.Service] = true
		return
	}
	for _, v := range s.versionsOf[a.Model] {
		if len(a.Versions) == 0 || slices.Contains(a.Versions, v.ID) {
			s.allowedTargets[a.Organisation][v.Target()] = true
		}
	}
}

// OrganisationByKey returns the organisation that owns the bearer key, or nil.
func (s *Set) OrganisationByKey(key string) *Organisation {
	hash := sha256.Sum256([]byte(key))
	var owner *Organisation
	for _, k := range s.keyOwnersByPrefix[[hashPrefixBytes]byte(hash[:])] {
		if subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1 {
			owner = k.owner
		}
	}
	return owner
}

// VersionAllowed reports whether the organisation may use the version t.
func (s *Set) VersionAllowed(organisation string, t Target) bool {
	return s.allowedTargets[organisation][t]
}

// ClassAllowed reports whether the organisation may use the class.
func (s *Set) ClassAllowed(organisation, class string) bool {
	return s.allowedClasses[organisation][class]
}

// ServiceAllowed reports whether the organisation may use the plain service.
func (s *Set) ServiceAllowed(organisation, service string) bool {
	return s.allowedServices[organisation][service]
}

// VersionsOf returns the versions of a model in line order. Callers must not change
// the slice.
func (s *Set) VersionsOf(model string) []*Version { return s.versionsOf[model] }

// UpstreamsByID returns all upstreams sorted by identifier. Callers must not
// change the slice.
func (s *Set) UpstreamsByID() []*Upstream { return s.upstreamsByID }

// MatchServiceCall returns the rule for a call of a service: the one for its method
// with the longest prefix of its path. A call without a rule is idempotent if its
// method is idempotent according to RFC 9110, section 9.2.2.
func (s *Set) MatchServiceCall(service, method, path string) ServiceCall {
	for _, c := range s.serviceCalls[service] {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return *c
		}
	}
	return ServiceCall{Service: service, Method: method, Path: path, Idempotent: isIdempotentMethod(method)}
}

func isIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS":
		return true
	}
	return false
}

// InService reports whether both the upstream and its failure domain are in
// service.
func (s *Set) InService(u *Upstream) bool {
	if u.State == OutOfService {
		return false
	}
	d := s.FailureDomains[u.FailureDomain]
	return d != nil && d.State != OutOfService
}

// WithDomainsOutOfService returns a copy of the set in which the failure domains
// for which isOut returns true are out of service too.
func (s *Set) WithDomainsOutOfService(isOut func(id string) bool) *Set {
	changed := *s
	changed.FailureDomains = make(map[string]*FailureDomain, len(s.FailureDomains))
	for id, d := range s.FailureDomains {
		if isOut(id) {
			changedDomain := *d
			changedDomain.State = OutOfService
			d = &changedDomain
		}
		changed.FailureDomains[id] = d
	}
	return &changed
}
