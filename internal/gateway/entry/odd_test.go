package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// record returns the record of a server with a field replaced by other JSON.
func record(field, json string) string {
	fields := map[string]string{
		"service": `"desk"`, "address": `"127.0.0.1:1"`, "zone": `"a"`, "slots": "16", "state": `"ready"`, "sequence": "1", "born": "1",
	}
	fields[field] = json
	var list []string
	for name, value := range fields {
		if value != "" {
			list = append(list, fmt.Sprintf("%q:%s", name, value))
		}
	}
	return "{" + strings.Join(list, ",") + "}"
}

// oddRecords returns records of another writer that name neither a server nor an entry, and more
// that name no server.
func oddRecords() (odd, noServer []string) {
	const maxRecordBytes = 256<<10 - 100
	odd = []string{
		strings.Repeat("[", 10_000), strings.Repeat("[", maxRecordBytes), strings.Repeat(`{"a":`, 50_000), "null", "\xff\xfe", "\x00", strings.Repeat("x", maxRecordBytes),
		record("zone", strings.Repeat("[", 100_000)), record("zone", `"`+strings.Repeat("z", 200_000)+`"`), record("zone", "5"), record("address", "80"), record("address", "null"),
	}
	for _, address := range []string{
		"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999", "127.0.0.1:-1", "127.0.0.1:http", "127.0.0.1:+80",
		"a b:80", "host:80", ":80", "0.0.0.0:80", "[::]:80", "[::1:80", "::1:80", "[fe80::1%lo]:80", "224.0.0.1:80", "127.0.0.1:80 ", "127.0.0.1\\u0000:80", "127.0.0.1:80\\r\\nX: y",
		strings.Repeat("1", 100_000) + ":80",
	} {
		odd = append(odd, record("address", `"`+address+`"`))
	}
	for _, field := range []string{"slots", "born", "sequence"} {
		for _, number := range []string{"1e400", "1e30", "-1", "1.5", "9223372036854775808", `"16"`, "[]", "true", strings.Repeat("9", 100_000)} {
			noServer = append(noServer, record(field, number))
		}
	}
	return odd, append(noServer, record("slots", ""), record("slots", "0"), record("slots", "9223372036854775807"),
		record("service", "5"), record("service", `""`), record("service", `"`+strings.Repeat("s", 200_000)+`"`),
		record("state", "1"), record("state", `"`+strings.Repeat("x", 200_000)+`"`))
}

// Another writer leaves odd records among those of the servers and entries: deeply nested, with a
// number too large or a port out of range. The entry lives, takes
// none of them for a server or an entry, goes on following, and logs each one once, in a short line.
func TestOddRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.serve("desk", "before")
	l := &logBuffer{}
	env.entry.log.SetOutput(l)
	env.entry.log.SetFormatter(log.JSONFormatter)
	odd, noServer := oddRecords()
	for i, value := range odd {
		env.store.Put("keyed.status", fmt.Sprintf("odd-%d", i), []byte(value))
	}
	odd = append(odd, noServer...)
	for i, value := range odd {
		env.store.Put("keyed.servers", fmt.Sprintf("odd-%d", i), []byte(value))
	}
	for _, id := range []string{"", "a b", "a\r\nX-Y: z", "\xff", strings.Repeat("\x00", 200)} {
		env.store.Put("keyed.servers", id, []byte(record("zone", `"a"`)))
	}
	env.serve("desk", "after")
	env.store.Put("keyed.status", "vm-9", []byte(`{"address":"127.0.0.1:9","zone":"b"}`))
	env.await(func() bool { return env.entry.entryCount() == 2 })
	is.Equal(len(env.entry.peers()), 1)
	is.True(env.check(func(sched *scheduler) bool { return sched.dir.Len() == 2 }))
	is.Equal(env.entry.reach.Unreachable(), nil)
	for range 8 {
		is.Equal(env.do(env.request("POST", "/once/")).status, 200)
	}

	env.store.SetOutage(true)
	env.put("desk", "last", "127.0.0.1:9", "draining")
	env.store.Trim("keyed.servers") // the entry has to read all newest records again
	env.store.SetOutage(false)
	env.await(func() bool { return env.known("desk", "last") })
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(l.buf.String(), "\n")
	for i := range odd {
		named := fmt.Sprintf(`"upstream":"odd-%d"`, i)
		logged := slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return !strings.Contains(line, named) })
		is.Equal(len(logged), 1) // once, not with each reading
		is.True(len(logged[0]) < 1<<10)
	}
}

// A sound record of a server is replaced by an odd one: it names no server any more, and the
// next sound one does.
func TestOddRecordReplacesServer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a, b := env.serve("desk", "i-1"), env.serve("desk", "i-2")
	env.store.Put("keyed.servers", "i-1", []byte(record("address", `"`+a.Addr()+`000"`)))
	env.await(func() bool { return !env.known("desk", "i-1") })
	for range 4 {
		is.Equal(env.do(env.request("POST", "/once/")).status, 200)
	}
	is.Equal(len(b.Runs()), 4)
	env.restart("desk", a)
	is.True(env.known("desk", "i-1"))
}

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
