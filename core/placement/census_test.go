package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCensus(t *testing.T) {
	is := is.New(t)
	f := newFleet(7) // d0 has u0, u3 and u6, d1 u1 and u4, d2 u2 and u5
	cold, draining, newer := testUpstream(0), testUpstream(3), testUpstream(4)
	cold.ColdLeft = time.Second
	draining.Draining = true
	newer.Version = "v2"
	for _, u := range []Upstream{cold, draining, newer} {
		f.Register(start, u)
	}
	f.SetDomainDisabled("d1", true)
	f.Withdraw("u2", start)
	is.Equal(f.Census(start, "s"), []Census{
		{Domain: "d0", Serving: 2, Cold: 1, Leaving: 1, Slots: 16, Versions: []string{"v1"}},
		{Domain: "d1", Disabled: true, Serving: 2, Slots: 16, Versions: []string{"v1", "v2"}},
		{Domain: "d2", Serving: 1, Slots: 8, Versions: []string{"v1"}},
	})
	is.Equal(f.Census(start, "another service"), nil)
}
