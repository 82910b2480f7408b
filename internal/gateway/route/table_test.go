package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTable() *Table {
	return NewTable(Settings{
		Version: 3,
		Routes: []*Route{
			{Name: "root", Host: "H.example", Prefix: "/"},
			{Name: "deep", Host: "h.example", Prefix: "/a/b/"},
			{Name: "other", Host: "o.example", Prefix: "/a/"},
		},
		Keyed: true, Keys: map[string]*Workspace{"key": {Name: "guild"}},
	})
}

func ExampleTable_Match() {
	for _, path := range []string{"/", "/a/b/", "/a/b/c?x=/a/", "/a/b", "/a/bc/"} {
		fmt.Println(path, newTable().Match("h.example:80", path).Name)
	}
	// Output:
	// / root
	// /a/b/ deep
	// /a/b/c?x=/a/ deep
	// /a/b root
	// /a/bc/ root
}

func TestMatchWithoutRoute(t *testing.T) {
	is := is.New(t)
	is.True(newTable().Match("o.example", "/b/") == nil)
	is.True(newTable().Match("none.example", "/a/") == nil)
	is.True(newTable().Match("h.example", "") == nil)
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Shares: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	n := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint("request-", i)
		s := r.Service(id)
		n[s]++
		is.Equal(s, r.Service(id)) // the same id always gets the same service
	}
	is.True(n["a"] > 8_700 && n["a"] < 9_300)
	is.Equal(n["a"]+n["b"], 10_000)
	is.Equal((&Route{}).Service("x"), "")
}

func TestWorkspaceForKey(t *testing.T) {
	is := is.New(t)
	is.Equal(newTable().Workspace("key").Name, "guild")
	is.True(newTable().Workspace("other") == nil)
	is.True(newTable().Keyed())
	is.True(!NewTable(Settings{}).Keyed())
	is.True(NewTable(Settings{Keyed: true}).Keyed())
}

// The longest pause is that of the routes to the service, whatever their share.
func TestLongestGap(t *testing.T) {
	is := is.New(t)
	table := NewTable(Settings{Routes: []*Route{
		{Host: "h", Prefix: "/a/", Gap: 200 * time.Millisecond, Shares: []Share{{Service: "x", Weight: 9}, {Service: "y", Weight: 1}}},
		{Host: "h", Prefix: "/b/", Gap: time.Second, Shares: []Share{{Service: "x", Weight: 1}}},
		{Host: "h", Prefix: "/c/", Shares: []Share{{Service: "z", Weight: 1}}},
	}})
	is.Equal(table.LongestGap("x"), time.Second)
	is.Equal(table.LongestGap("y"), 200*time.Millisecond)
	is.Equal(table.LongestGap("z"), time.Duration(0))
	is.Equal(table.LongestGap("none"), time.Duration(0))
}

// A list that is missing or empty sets no limit, and both lists apply where both name regions.
func TestHomes(t *testing.T) {
	for _, c := range []struct {
		route, workspace []string
		allowed          string
	}{
		{nil, nil, "r-1 r-2 none "},
		{[]string{}, []string{"r-1"}, "r-1 "},
		{[]string{"r-2"}, nil, "r-2 "},
		{[]string{"r-1", "r-2"}, []string{"r-2", "r-3"}, "r-2 "},
		{[]string{"r-1"}, []string{"r-2"}, ""},
		{[]string{""}, nil, ""},
	} {
		homes, allowed := NewHomes(c.route, c.workspace), ""
		for _, region := range []string{"r-1", "r-2"} {
			if homes.Allow(region) {
				allowed += region + " "
			}
		}
		if homes.Allow("") {
			allowed += "none "
		}
		is.New(t).Equal(allowed, c.allowed)
	}
}
