package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

const (
	plainAnswer = "plain answer"
	mostServers = 2 // that a request may be sent to, by its route
	shown       = 8 // violations that are told in full
)

// verdict returns the promises that were broken, by what callers and servers saw.
func verdict(attempts []*attempt, runs map[string][]ran) []string {
	var out []string
	known := map[string]bool{}
	for _, a := range attempts {
		known[a.id] = true
		for _, why := range append(a.broken(runs[a.id]), a.changed(runs[a.id])...) {
			out = append(out, fmt.Sprintf("%s %s at entry %d, sent %s, status %d: %s", a.method, a.path, a.entry, a.at.Format("15:04:05.000"), a.status, why))
		}
	}
	for id, list := range runs {
		if !known[id] {
			out = append(out, fmt.Sprintf("%s ran %s %s with id %q, which nobody sent", list[0].Instance, list[0].Method, list[0].URI, id))
		}
	}
	return out
}

// broken tells what is wrong with what the caller was told, beside what ran.
func (a *attempt) broken(list []ran) []string {
	var out []string
	if a.once && len(list) > 1 {
		out = append(out, fmt.Sprintf("it ran %d times, and may run once", len(list)))
	}
	if len(list) > mostServers {
		out = append(out, fmt.Sprintf("it ran %d times, its route allows %d", len(list), mostServers))
	}
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if a.once && len(list) > 0 {
			out = append(out, fmt.Sprintf("it ran at %s, though it is promised that it did not", list[0].Instance))
		}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		out = append(out, "it is proper, and allowed by each configuration")
	case http.StatusOK:
		if why := wrong(a, len(list)); a.err == nil && why != "" {
			out = append(out, why)
		}
	}
	return out
}

// changed tells what servers saw that the caller did not send.
func (a *attempt) changed(list []ran) []string {
	var out []string
	for _, r := range list {
		if r.Method != a.method || r.URI != a.path || r.Body != a.body {
			out = append(out, fmt.Sprintf("%s ran %s %s with %q", r.Instance, r.Method, r.URI, r.Body))
		}
		if r.Tenant != "guild" || r.Key != "" {
			out = append(out, fmt.Sprintf("%s was told workspace %q and the key %q", r.Instance, r.Tenant, r.Key))
		}
	}
	return out
}

// wrong tells what is wrong with a whole answer of success, or "".
func wrong(a *attempt, runs int) string {
	want := plainAnswer
	if a.stream {
		want = server.Events(eventCount)
	}
	switch {
	case runs == 0:
		return "no server ran it"
	case a.head.Get("X-Attempt-Id") != a.id:
		return "the answer is of " + a.head.Get("X-Attempt-Id")
	case !strings.HasPrefix(a.head.Get("X-Response-Seal"), "seal-"):
		return "the answer has no seal"
	case a.head.Get("Content-Encoding") != "":
		return "the answer is encoded"
	case a.answer != want:
		return fmt.Sprintf("the answer is %q", a.answer)
	}
	return ""
}
