package membership

import "github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"

// Dump is the membership part of the state dump.
type Dump struct {
	Isolated       bool            `json:"isolated"`   // all calls of this entry fail
	Superseded     bool            `json:"superseded"` // a newer process of this VM exists
	BytesSent      int64           `json:"bytesSent"`
	BytesReceived  int64           `json:"bytesReceived"`
	BudgetLeft     int             `json:"budgetLeftBytes"`
	Suspicions     int64           `json:"suspicions"`
	Entries        []EntryState    `json:"entries"`
	Domains        []DomainState   `json:"failureDomains"`
	UpstreamStates []UpstreamState `json:"upstreams"` // only those that are not live
}

// EntryState is the state of an entry in the state dump.
type EntryState struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	Address       string `json:"address"`
	Incarnation   uint64 `json:"incarnation"`
	State         State  `json:"state"`
	SinceMS       int64  `json:"sinceMs"` // 0 for entries of other failure domains
	Offset        uint64 `json:"offset"`
}

// DomainState is the state of another failure domain in the state dump.
type DomainState struct {
	FailureDomain string              `json:"failureDomain"`
	AgeMS         int64               `json:"ageMs"`
	Live          uint32              `json:"live"`
	Known         uint32              `json:"known"`
	Spare         []*memberwire.Spare `json:"spare,omitempty"`
}

// UpstreamState is the state of an upstream in the state dump.
type UpstreamState struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Dump returns the membership part of the state dump.
func (n *Node) Dump() Dump {
	peers := n.Peers()
	n.mu.Lock()
	defer n.mu.Unlock()
	counters := n.cfg.Link.Counters()
	d := Dump{
		Isolated: n.isolated(), Superseded: n.table.superseded, Suspicions: n.suspicions,
		BytesSent: counters.Sent(), BytesReceived: counters.Received(), BudgetLeft: n.budgetLeft(),
		Entries: []EntryState{}, Domains: []DomainState{}, UpstreamStates: []UpstreamState{},
	}
	for _, p := range peers {
		entry := EntryState{
			VM: p.vm, FailureDomain: p.domain, Address: p.address, Incarnation: p.incarnation, State: p.state, Offset: p.offset,
		}
		if !p.since.IsZero() {
			entry.SinceMS = n.now().Sub(p.since).Milliseconds()
		}
		d.Entries = append(d.Entries, entry)
	}
	for _, s := range n.otherDomains() {
		d.Domains = append(d.Domains, DomainState{
			FailureDomain: s.GetDomain(), AgeMS: n.now().Sub(n.summaries.items[s.GetDomain()].storedAt).Milliseconds(),
			Live: s.GetLive(), Known: s.GetKnown(), Spare: s.GetSpare(),
		})
	}
	for _, p := range n.table.nonLiveUpstreams() {
		d.UpstreamStates = append(d.UpstreamStates, UpstreamState{Name: p.GetName(), State: stateFromProto[p.GetState()]})
	}
	return d
}
