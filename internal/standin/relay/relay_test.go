package relay_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that echoes its input and returns a relay to it.
func echo(t *testing.T) *relay.Relay {
	t.Helper()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	target := listen()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c) // returns when the connection ends
				_ = c.Close()
			}()
		}
	}()
	r := relay.New(listen(), target.Addr().String())
	t.Cleanup(func() {
		r.Close()
		_ = target.Close()
	})
	return r
}

// roundTrip sends a text and returns the echo, up to the length of the text.
func roundTrip(t *testing.T, r *relay.Relay, text string, timeout time.Duration) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return "", err // the reset may arrive before the dial returns
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b := make([]byte, len(text))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func TestModes(t *testing.T) {
	is := is.New(t)
	r := echo(t)
	for _, m := range []relay.Mode{relay.Pass, relay.Slow} {
		r.Set(m)
		got, err := roundTrip(t, r, "hello", time.Minute)
		is.NoErr(err)
		is.Equal(got, "hello")
	}
	for _, m := range []relay.Mode{relay.Mute, relay.OneWay} {
		r.Set(m)
		_, err := roundTrip(t, r, "hello", 50*time.Millisecond)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	}
	r.Set(relay.Reset)
	_, err := roundTrip(t, r, "hello", time.Minute)
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	r.Set(relay.Pass)
	got, err := roundTrip(t, r, "hello", time.Minute)
	is.NoErr(err)
	is.Equal(got, "hello")
}

func TestCutResetsAfterLimit(t *testing.T) {
	is := is.New(t)
	r := echo(t)
	for _, cut := range []func(int){r.CutRequests, r.CutResponses} {
		cut(3)
		got, err := roundTrip(t, r, "hello", time.Minute)
		is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
		is.True(len(got) <= 3)
		r.CutNothing()
		got, err = roundTrip(t, r, "hello", time.Minute)
		is.NoErr(err)
		is.Equal(got, "hello")
	}
}
