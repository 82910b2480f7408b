package events_test

import (
	"fmt"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/events"
)

func ExampleLoop() {
	start := time.Unix(0, 0)
	l := events.New(start)
	printAt := func(name string) func() {
		return func() { fmt.Println(l.Now().Sub(start), name) }
	}
	l.After(2*time.Second, printAt("third"))
	l.After(time.Second, func() {
		printAt("first")()
		l.After(0, printAt("second"))
	})
	l.After(time.Hour, printAt("last"))
	l.RunFor(time.Minute)
	fmt.Println(l.Now().Sub(start))
	l.Run()
	// Output:
	// 1s first
	// 1s second
	// 2s third
	// 1m0s
	// 1h0m0s last
}
