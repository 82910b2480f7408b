package product_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/vmlist"
)

// action is a step of a plan. It starts the delay after the previous step.
type action struct {
	delay time.Duration
	name  string
	run   func(c *run)
}

func (a action) String() string { return fmt.Sprintf("+%s %s", a.delay, a.name) }

const (
	minActions       = 20
	maxActions       = 60
	shortPauseMillis = 400
	longPauseMillis  = 3_000
	maxFaultMillis   = 20_000
)

// drawPlan draws a plan with two random kinds of fault.
func drawPlan(t *rapid.T) []action {
	first := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")]
	second := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "second fault")]
	return drawPlanOf(t, first.draw, second.draw)
}

// drawPlanOf draws the actions of callers and operators, with faults of the two kinds.
func drawPlanOf(t *rapid.T, first, second func(t *rapid.T) action) []action {
	n := rapid.IntRange(minActions, maxActions).Draw(t, "actions")
	orders := make([]*order, 4)
	for i := range orders {
		orders[i] = &order{numbers: map[uint64]bool{}}
	}
	plan := make([]action, 0, n)
	for i := range n {
		var a action
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1, 2, 3:
			a = drawPrompt(t, i)
		case 4, 5:
			a = drawOrder(t, orders)
		case 6:
			a = drawChange(t, i)
		case 7, 8:
			a = first(t)
		default:
			a = second(t)
		}
		longest := shortPauseMillis
		if rapid.IntRange(0, 9).Draw(t, "long pause") == 0 {
			longest = longPauseMillis
		}
		a.delay = time.Duration(rapid.IntRange(0, longest).Draw(t, "pause")) * time.Millisecond
		plan = append(plan, a)
	}
	return plan
}

func drawEntry(t *rapid.T) int { return rapid.IntRange(0, entryCount-1).Draw(t, "entry") }

func drawPrompt(t *rapid.T, id int) action {
	p := prompt{
		id:        id,
		entry:     drawEntry(t),
		tokens:    rapid.SampledFrom([]int{50, 50, 200, 1_000, 5_000, 15_000, 30_000}).Draw(t, "tokens"),
		maxTokens: rapid.IntRange(1, 150).Draw(t, "max tokens"),
		timeout:   time.Duration(rapid.IntRange(2, 30).Draw(t, "patience")) * time.Second,
		stream:    rapid.Bool().Draw(t, "stream"),
		key:       rapid.SampledFrom([]string{callerKey, otherKey}).Draw(t, "key"),
	}
	if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
		p.disconnectAfter = time.Duration(rapid.IntRange(1, 5_000).Draw(t, "leave at")) * time.Millisecond
	}
	name := fmt.Sprintf("prompt %d of %d tokens at %s, limit %s, leaves at %s", id, p.tokens, entryName(p.entry), p.timeout, p.disconnectAfter)
	return action{name: name, run: func(r *run) { r.wg.Go(func() { r.sendAndCheck(p) }) }}
}

func drawOrder(t *rapid.T, orders []*order) action {
	i, entry := rapid.IntRange(0, len(orders)-1).Draw(t, "order"), drawEntry(t)
	return action{name: fmt.Sprintf("order %d at %s", i, entryName(entry)), run: func(r *run) {
		o := orders[i]
		if o.key == "" {
			o.key = newIdempotencyKey(uint64(i))
			r.orders = append(r.orders, o)
		}
		r.wg.Go(func() { r.placeOrder(o, entry) })
	}}
}

func drawChange(t *rapid.T, id int) action {
	entry, name := drawEntry(t), rapid.SampledFrom([]string{"rule-1", "rule-2"}).Draw(t, "rule")
	priority := rapid.IntRange(-5, 5).Draw(t, "priority")
	return action{name: fmt.Sprintf("set %s at %s to priority %d", name, entryName(entry), priority), run: func(r *run) {
		r.wg.Go(func() { r.setRulePriority(id, entry, name, priority) })
	}}
}

// faults lists the kinds of fault that the product must tolerate.
var faults = []struct {
	name string
	draw func(t *rapid.T) action
}{
	{"engine_dies", engineCrashes},
	{"engine_slow", engineSlow},
	{"engine_pauses", enginePauses},
	{"engine_silent", engineSilent},
	{"engine_loses_answers", engineLosesResponses},
	{"engine_leaves", engineDrains},
	{"log_down", logDown},
	{"log_slow", logSlow},
	{"log_loses_answers", logLosesResponses},
	{"entry_dies", entryCrashes},
	{"entry_leaves", entryDrains},
	{"entry_cut_off", entryPartitioned},
	{"domain_cut_off", domainPartitioned},
	{"desk_loses_answers", deskLosesResponses},
	{"desk_down", deskDown},
	{"connections_silent", silentConnections},
	{"list_lags", vmListLags},
}

func drawEngine(t *rapid.T) int { return rapid.IntRange(0, engineCount-1).Draw(t, "engine") }

func drawDuration(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(100, maxFaultMillis).Draw(t, "length")) * time.Millisecond
}

// temporaryFault returns an action that runs start at once and end after the time.
func temporaryFault(name string, d time.Duration, start, end func(r *run)) action {
	return action{name: fmt.Sprintf("%s for %s", name, d), run: func(r *run) {
		start(r)
		r.wg.Go(func() {
			time.Sleep(d)
			end(r)
			r.tracef("over: %s", name)
		})
	}}
}

func engineCrashes(t *rapid.T) action {
	i := drawEngine(t)
	return temporaryFault(engineName(i)+" is dead", drawDuration(t),
		func(r *run) { r.world.Engines[i].Die() }, func(r *run) { r.world.Engines[i].Restart() })
}

func engineSlow(t *rapid.T) action {
	i := drawEngine(t)
	return temporaryFault(engineName(i)+" is slow", drawDuration(t),
		func(r *run) { r.world.Engines[i].SetSlow(5) }, func(r *run) { r.world.Engines[i].SetSlow(1) })
}

func enginePauses(t *rapid.T) action {
	i := drawEngine(t)
	return temporaryFault(engineName(i)+" is paused", drawDuration(t),
		func(r *run) { r.world.Engines[i].Pause(true) }, func(r *run) { r.world.Engines[i].Pause(false) })
}

func engineSilent(t *rapid.T) action {
	i := drawEngine(t)
	return action{name: engineName(i) + " goes silent on open connections", run: func(r *run) { r.world.Engines[i].Silence() }}
}

func engineLosesResponses(t *rapid.T) action {
	i, n := drawEngine(t), rapid.IntRange(1, 3).Draw(t, "answers")
	return action{name: fmt.Sprintf("%s loses %d answers", engineName(i), n), run: func(r *run) { r.world.Engines[i].LoseAnswers(n) }}
}

func engineDrains(t *rapid.T) action {
	i := drawEngine(t)
	return temporaryFault(engineName(i)+" is leaving", drawDuration(t),
		func(r *run) { r.world.Engines[i].SetLeaving(true) }, func(r *run) { r.world.Engines[i].SetLeaving(false) })
}

func logDown(t *rapid.T) action {
	return temporaryFault("the log is down", drawDuration(t),
		func(r *run) { r.world.Store.SetOutage(true) }, func(r *run) { r.world.Store.SetOutage(false) })
}

func logSlow(t *rapid.T) action {
	return temporaryFault("the log is slow", drawDuration(t),
		func(r *run) { r.world.Store.SetDelay(time.Second) }, func(r *run) { r.world.Store.SetDelay(0) })
}

func logLosesResponses(t *rapid.T) action {
	n := rapid.IntRange(1, 3).Draw(t, "answers")
	return action{name: fmt.Sprintf("the log loses %d answers", n), run: func(r *run) { r.world.Store.LoseAnswers(n) }}
}

func entryCrashes(t *rapid.T) action {
	i := drawEntry(t)
	return action{name: entryName(i) + " dies and is replaced", run: func(r *run) { r.replace(i, true, r.kill) }}
}

func entryDrains(t *rapid.T) action {
	i := drawEntry(t)
	return action{name: entryName(i) + " leaves and is replaced", run: func(r *run) { r.replace(i, false, r.drainEntry) }}
}

func entryPartitioned(t *rapid.T) action {
	i := drawEntry(t)
	others := []string{"platform"}
	for j := range engineCount {
		if domainOf(j) != domainOf(i) {
			others = append(others, engineName(j))
		}
	}
	return partition(entryName(i)+" is cut off from the platform and other domains' engines", []string{entryName(i)}, others, drawDuration(t))
}

func domainPartitioned(t *rapid.T) action {
	d := rapid.SampledFrom(domains).Draw(t, "domain")
	var inside, outside []string
	add := func(domain, machine string) {
		if domain == d {
			inside = append(inside, machine)
		} else {
			outside = append(outside, machine)
		}
	}
	for i := range entryCount {
		add(domainOf(i), entryName(i))
	}
	for i := range engineCount {
		add(domainOf(i), engineName(i))
	}
	outside = append(outside, "platform", "desk", "registry")
	return partition("domain "+d+" is cut off", inside, outside, drawDuration(t))
}

func partition(name string, inside, outside []string, d time.Duration) action {
	forEachPair := func(f func(a, b string)) {
		for _, a := range inside {
			for _, b := range outside {
				f(a, b)
			}
		}
	}
	return temporaryFault(name, d,
		func(r *run) { forEachPair(r.net.Cut) }, func(r *run) { forEachPair(r.net.Heal) })
}

func deskLosesResponses(t *rapid.T) action {
	n := rapid.IntRange(1, 3).Draw(t, "answers")
	return action{name: fmt.Sprintf("the desk loses %d answers", n), run: func(r *run) { r.world.Desk.LoseAnswers(n) }}
}

func deskDown(t *rapid.T) action {
	return temporaryFault("the desk is dead", drawDuration(t),
		func(r *run) { r.world.Desk.SetDead(true) }, func(r *run) { r.world.Desk.SetDead(false) })
}

func silentConnections(t *rapid.T) action {
	machine := rapid.SampledFrom([]string{"platform", "desk", "engine-1", "engine-2", entryName(0), entryName(1)}).Draw(t, "machine")
	return action{name: "open connections of " + machine + " go silent", run: func(r *run) {
		for i := range entryCount {
			if machine == entryName(i) {
				r.startOutage(i, true)()
			}
		}
		r.net.Silence(machine)
	}}
}

func vmListLags(t *rapid.T) action {
	return temporaryFault("the VM list lags", drawDuration(t),
		func(r *run) { r.world.VMs.SetLag(time.Minute) }, func(r *run) { r.world.VMs.SetLag(vmListLag) })
}

// drainEntry shuts an entry down with its VM listed as leaving.
func (r *run) drainEntry(i int) {
	r.world.VMs.Put(vmlist.VM{Name: entryName(i), Address: peerAddr(i), FailureDomain: domainOf(i), State: vmlist.StateLeaving})
	if err := r.shutdown(i); err != nil {
		r.tracef("%s left with %v", entryName(i), err)
	}
}
