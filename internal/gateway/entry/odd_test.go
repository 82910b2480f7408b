package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Another writer leaves records that aren't framed as those of a keyed topic. The entry stopped
// following the topic there, for good.
func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	for _, topic := range []string{"keyed.servers", "keyed.status"} {
		for _, data := range [][]byte{{}, {9, 'k'}, {255}} {
			_, _, err := env.store.Append(t.Context(), topic, [][]byte{data})
			is.NoErr(err)
		}
	}
	env.serve("desk", "after")
	env.store.Put("keyed.status", "vm-9", []byte(`{"address":"127.0.0.1:9","zone":"b"}`))
	env.await(func() bool { return env.entry.entryCount() == 2 })
}
