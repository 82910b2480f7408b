package sends

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

func newTestExchange() *Exchange {
	return &Exchange{wake: make(chan struct{}, 1), peers: map[string]*peer{}, relayedTo: map[string]time.Time{}, seams: Seams{Log: log.New(io.Discard), OnReport: func(string, passes.Report) {}}}
}

// accepts reports whether the exchange takes a message for a new one.
func accepts(x *Exchange, from string, m *message, now time.Time) bool {
	_, _, isNew := x.accept(from, m, now)
	return isNew
}

// Two entries exchange their sends and offsets over UDP.
func TestEntriesExchangeReports(t *testing.T) {
	is := is.New(t)
	var conns [2]net.PacketConn
	for i := range conns {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		is.NoErr(err)
		conns[i] = c
	}
	reports, offsets := make(chan []passes.Send, 16), make(chan []platform.Position, 16)
	want, served := []platform.Position{{Epoch: 2, Offset: 4}, {Epoch: 1, Offset: 5}}, time.Now().Add(-time.Hour)
	start := func(i int, sends []passes.Send) *Exchange {
		x := New(conns[i], time.Now(), Seams{
			Report: func() passes.Report { return passes.Report{Sends: sends} },
			OnReport: func(_ string, r passes.Report) {
				if len(r.Sends) > 0 {
					reports <- r.Sends
				}
			},
			Peers:     func() []Peer { return []Peer{{Address: conns[1-i].LocalAddr().String()}} },
			Positions: func() ([]platform.Position, time.Time) { return want, served },
			OnPositions: func(_ string, o []platform.Position, at time.Time) {
				if at.Sub(served).Abs() > time.Second {
					o = nil
				}
				select {
				case offsets <- o:
				default: // the test reads one only
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
	got := <-reports
	is.Equal(got[0].Engine, "i-1")
	is.Equal(got[0].Context, 7)
	is.Equal(<-offsets, want)
}
