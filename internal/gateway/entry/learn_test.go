package entry

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// An entry must know how fast a server is from the requests of another one, and must not learn it
// from errors.
func TestEntriesShareWhatTheyLearn(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	other := env.startOther()
	desk := env.serve("desk", "i-1")
	env.awaitOther(other, 1)
	const requests = 20
	for range requests {
		is.Equal(env.ask(other, "/look/").status, http.StatusOK)
	}
	is.Equal(len(desk.Runs()), requests)
	env.await(func() bool {
		list := env.entry.State().PlainServers["desk"]
		return len(list) == 1 && list[0].Samples > 1 && list[0].BaseMS > 0
	})
}
