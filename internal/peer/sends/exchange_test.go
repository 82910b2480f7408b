package sends

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

func quietExchange() *Exchange {
	return &Exchange{kick: make(chan struct{}, 1), peers: map[string]*peer{}, seams: Seams{Log: log.New(io.Discard), Tell: func(string, passes.Report) {}}}
}

// Two entries hear of each other's sends and offsets over UDP.
func TestEntriesHearOfEachOther(t *testing.T) {
	is := is.New(t)
	var conns [2]net.PacketConn
	for i := range conns {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		is.NoErr(err)
		conns[i] = c
	}
	told, hinted := make(chan []passes.Send, 16), make(chan []uint64, 16)
	start := func(i int, sends []passes.Send) *Exchange {
		x := New(conns[i], time.Now(), Seams{
			Own: func() passes.Report { return passes.Report{Sends: sends} },
			Tell: func(_ string, r passes.Report) {
				if len(r.Sends) > 0 {
					told <- r.Sends
				}
			},
			Peers:   func() []string { return []string{conns[1-i].LocalAddr().String()} },
			Offsets: func() []uint64 { return []uint64{4, 5} },
			Hint: func(_ string, o []uint64) {
				select {
				case hinted <- o:
				default: // one is enough
				}
			},
			Log: log.New(io.Discard),
		})
		t.Cleanup(x.Close)
		return x
	}
	a := start(0, []passes.Send{{Engine: "i-1", Context: 7, At: time.Now()}})
	start(1, nil)
	a.Changed()
	got := <-told
	is.Equal(got[0].Engine, "i-1")
	is.Equal(got[0].Context, 7)
	is.Equal(<-hinted, []uint64{4, 5})
}
