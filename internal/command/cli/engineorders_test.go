package cli

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestVersionIsRolledOutAndBack(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	put := func(path, spec string) {
		t.Helper()
		got := c.call(t, 0, http.MethodGet, path, devToken, "")
		var o struct{ Metadata struct{ Version uint64 } }
		if got.status == http.StatusOK {
			is.NoErr(json.Unmarshal([]byte(got.body), &o))
		}
		body, err := json.Marshal(map[string]any{"metadata": o.Metadata, "spec": json.RawMessage(spec)})
		is.NoErr(err)
		a := c.call(t, 0, http.MethodPut, path, devToken, string(body))
		is.True(a.status < http.StatusBadRequest)
	}
	api := "/apis/dogwoodmill/v1/"
	put(api+"versions/2", `{"deployment":"assistant","weights":"w","bytes":1000,"adapters":["motifs"]}`)
	put(api+"rules/capacity", `{"deployment":"assistant","minCapacity":0.5}`)
	for _, version := range []string{"2", "1"} {
		put(api+"deployments/assistant",
			`{"model":"assistant-1","version":"`+version+`","contextTokens":1400000,"maxOutputTokens":4096}`)
		for c.serving(version) < devEngines {
			is.NoErr(t.Context().Err())
			is.True(c.serving("1")+c.serving("2") >= devEngines/2)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// serving returns the number of engines that serve the version.
func (c *devCluster) serving(version string) int {
	n := 0
	for _, e := range c.Engines {
		st, err := e.State()
		if err == nil && len(st.Models) == 1 && st.Models[0].Ready && st.Models[0].Version == version {
			n++
		}
	}
	return n
}
