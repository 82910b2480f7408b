package membership

import "github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"

// Dump is the membership's part of the state dump.
type Dump struct {
	Isolated       bool           `json:"isolated"`   // no call succeeds: this entry is cut off
	Superseded     bool           `json:"superseded"` // a newer process of this VM exists
	BytesSent      int64          `json:"bytesSent"`
	BytesReceived  int64          `json:"bytesReceived"`
	BudgetLeft     int            `json:"budgetLeftBytes"`
	Suspicions     int64          `json:"suspicions"`
	Entries        []EntryState   `json:"entries"`
	Domains        []DomainState  `json:"failureDomains"`
	UpstreamStates []UpstreamDump `json:"upstreams"` // that are not simply live
}

// EntryState is an entry of the state dump.
type EntryState struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	Address       string `json:"address"`
	Incarnation   uint64 `json:"incarnation"`
	State         State  `json:"state"`
	SinceMS       int64  `json:"sinceMs"` // of the own failure domain
	Offset        uint64 `json:"offset"`
}

// DomainState is another failure domain of the state dump.
type DomainState struct {
	FailureDomain string              `json:"failureDomain"`
	AgeMS         int64               `json:"ageMs"`
	Live          uint32              `json:"live"`
	Known         uint32              `json:"known"`
	Spare         []*memberwire.Spare `json:"spare,omitempty"`
}

// UpstreamDump is an upstream of the state dump.
type UpstreamDump struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Dump returns the membership's part of the state dump.
func (n *Node) Dump() Dump {
	peers := n.Peers()
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.cfg.Link.Counters()
	d := Dump{
		Isolated: n.isolated(), Superseded: n.table.superseded, Suspicions: n.suspected,
		BytesSent: c.Sent(), BytesReceived: c.Received(), BudgetLeft: n.budgetLeft(),
		Entries: []EntryState{}, Domains: []DomainState{}, UpstreamStates: []UpstreamDump{},
	}
	for _, p := range peers {
		e := EntryState{
			VM: p.vm, FailureDomain: p.domain, Address: p.address, Incarnation: p.incarnation, State: p.state, Offset: p.offset,
		}
		if !p.since.IsZero() {
			e.SinceMS = n.now().Sub(p.since).Milliseconds()
		}
		d.Entries = append(d.Entries, e)
	}
	for _, s := range n.otherDomains() {
		d.Domains = append(d.Domains, DomainState{
			FailureDomain: s.GetDomain(), AgeMS: n.now().Sub(n.summaries.items[s.GetDomain()].at).Milliseconds(),
			Live: s.GetLive(), Known: s.GetKnown(), Spare: s.GetSpare(),
		})
	}
	for _, p := range n.table.upstreams() {
		d.UpstreamStates = append(d.UpstreamStates, UpstreamDump{Name: p.GetName(), State: states[p.GetState()]})
	}
	return d
}
