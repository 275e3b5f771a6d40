package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func testTable() *Table {
	return New(Table{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "api.example", Prefix: "/", Split: []Share{{Service: "s"}}},
			{Name: "deep", Host: "api.example", Prefix: "/a/b/", Split: []Share{{Service: "s"}}},
			{Name: "shallow", Host: "api.example", Prefix: "/a/", Split: []Share{{Service: "s"}}},
			{Name: "other", Host: "other.example", Prefix: "/a/b/c/", Split: []Share{{Service: "s"}}},
		},
		Organisations: []Organisation{{Name: "nurses", Keys: []string{"k1", "k2"}}},
		Services:      []Service{{Name: "s", ColdRate: 3}},
	})
}

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{host: "api.example", path: "/a/b/c/1", want: "deep"},
		{host: "API.example:8080", path: "/a/x", want: "shallow"},
		{host: "api.example", path: "/a", want: "all"},
		{host: "api.example", path: "/ab/", want: "all"},
		{host: "other.example", path: "/a/b/c/1", want: "other"},
		{host: "other.example", path: "/a/b/", want: ""},
		{host: "unknown.example", path: "/", want: ""},
	}
	table := testTable()
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Route(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestTableLooksUpOrganisationsAndServices(t *testing.T) {
	is := is.New(t)
	table := testTable()
	is.Equal(table.OrganisationByKey("k2").Name, "nurses")
	is.True(table.OrganisationByKey("") == nil)
	is.True(table.RequiresKey())
	is.Equal(table.Service("s").ColdRate, 3.0)
	is.True(table.Service("t") == nil)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	n := map[string]int{}
	for i := range 10000 {
		key := fmt.Sprint("request-", i)
		service := r.PickService(key)
		is.Equal(service, r.PickService(key)) // the same key gives the same service
		n[service]++
	}
	is.Equal(n["c"], 0)
	is.True(n["b"] > 800 && n["b"] < 1200)
}
