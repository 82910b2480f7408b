// Command rig3 plays the scripts of the third review: the product's processes on loopback, against
// stand-ins of the users' store, servers and clients. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run. With TROUBLE=0 it leaves the disturbance out.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case and returns how often the rule was broken.
type scenario func(w *world, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"late-beat":        lateBeat,
	"shared-part":      sharedPart,
	"poison-forgotten": poisonForgotten,
	"silent-release":   silentRelease,
	"stale-route":      staleRoute,
}

func main() { os.Exit(play(os.Args)) }

func play(args []string) int {
	if len(args) != 3 || scenarios[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	broken, err := scenarios[args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken > 0:
		w.note("BROKEN: %d", broken)
		return exitBroken
	}
	w.note("held")
	return exitHeld
}
